#pragma once

#include "core/ids.h"
#include "core/messages/request.h"
#include "core/random.h"
#include "core/time.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace baobabtrail {

/// \brief A request as the queue sees it.
struct QueueEntry
{
    RequestId request;
    RequestClass requestClass = RequestClass::Normal;
    std::string workspace;
    TimePoint deadline;
    TimePoint arrivedAt;
    bool ready = true; ///< False while it only holds a place: its data has not come yet.
};

/// \brief The queue did not take a request.
struct QueueRefusal
{
    RefusalCause cause = RefusalCause::Overload;
    Duration retryAfter{0};
};

/// \brief The short queue of one target at its owner.
///
/// Urgent requests go first; within a class, workspaces take turns by their weights. What can't
/// start before its deadline at the pace seen lately is refused when it arrives, not when it is too
/// late. A more urgent arrival may displace the newest entry of a lesser class that has not
/// started.
class AdmissionQueue
{
public:
    /// \param capacity Most entries at once.
    explicit AdmissionQueue(std::size_t capacity);
    ~AdmissionQueue();
    AdmissionQueue(AdmissionQueue &&) noexcept;
    AdmissionQueue &operator=(AdmissionQueue &&) noexcept;

    void setCapacity(std::size_t capacity) noexcept;
    /// \param weight Share of the workspace, 100 for an ordinary one.
    void setWorkspaceWeight(const std::string &workspace, std::uint32_t weight);

    /// \brief Takes a place.
    /// \param displaced Set to the entry that had to go, which is then answered as not run.
    /// \return Nothing where it was taken, else why not.
    [[nodiscard]] std::optional<QueueRefusal> push(const QueueEntry &entry, TimePoint now,
                                                   Random &random,
                                                   std::optional<QueueEntry> &displaced);
    /// \brief The data of a request that held a place has come: it may start.
    /// \return Whether it was there.
    bool setReady(const RequestId &request);
    /// \return The next ready entry to start, or nothing. Entries past their deadline go to \a
    /// expired.
    [[nodiscard]] std::optional<QueueEntry> pop(TimePoint now, std::vector<QueueEntry> &expired);
    /// \return Whether it was there.
    bool remove(const RequestId &request);
    /// \brief A slot came free after \a meanRunMicros; the pace by which waits are foreseen.
    void slotFreed(Duration runTime, std::uint32_t slots, TimePoint now) noexcept;

    [[nodiscard]] std::size_t size() const noexcept;
    /// \return When a refused caller should come back, spread so that the crowd doesn't return at
    /// once.
    [[nodiscard]] Duration retryAfter(Random &random) const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace baobabtrail
