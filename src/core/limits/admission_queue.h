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

/// \brief A queued request.
struct QueueEntry
{
    RequestId request;
    RequestClass requestClass = RequestClass::Normal;
    std::string workspace;
    TimePoint deadline;
    TimePoint arrivedAt;
    bool ready = true; ///< False while it only reserves a place: its data has not arrived yet.
};

/// \brief Why the queue refused a request, and when the caller should retry.
struct QueueRefusal
{
    RefusalCause cause = RefusalCause::Overload;
    Duration retryAfter{0};
};

/// \brief Bounded queue of the requests for one target, kept by the target's owner.
///
/// Requests of a more urgent class go first; within a class, workspaces share the slots by weighted
/// fair queueing. A request that can't start before its deadline, at the recent service rate, is
/// refused on arrival instead of when its deadline passes. A request that arrives at a full queue
/// may displace the newest waiting entry of a less urgent class or of a workspace above its share.
class AdmissionQueue
{
public:
    /// \param capacity Maximum number of entries.
    explicit AdmissionQueue(std::size_t capacity);
    ~AdmissionQueue();
    AdmissionQueue(AdmissionQueue &&) noexcept;
    AdmissionQueue &operator=(AdmissionQueue &&) noexcept;

    void setCapacity(std::size_t capacity) noexcept;
    /// \param weight Weight of the workspace; 100 is the default.
    void setWorkspaceWeight(const std::string &workspace, std::uint32_t weight);

    /// \brief Enqueues a request.
    /// \param displaced Set to the entry that was displaced, which the caller answers as not run.
    /// \return Nothing where the request was enqueued, else the refusal.
    [[nodiscard]] std::optional<QueueRefusal> push(const QueueEntry &entry, TimePoint now,
                                                   Random &random,
                                                   std::optional<QueueEntry> &displaced);
    /// \brief The data of a reserved request has arrived, so it may start.
    /// \return Whether the request was in the queue.
    bool setReady(const RequestId &request);
    /// \brief Removes the next ready entry, which is to start now.
    /// \param expired Entries past their deadline are removed too and appended to it.
    /// \return The entry, or nothing where none is ready.
    [[nodiscard]] std::optional<QueueEntry> pop(TimePoint now, std::vector<QueueEntry> &expired);
    /// \return Whether the request was in the queue.
    bool remove(const RequestId &request);
    /// \brief An attempt ended and freed its slot; updates the estimate of waiting times.
    /// \param runTime How long the attempt ran. \param slots Slots of the target.
    void slotFreed(Duration runTime, std::uint32_t slots, TimePoint now) noexcept;

    [[nodiscard]] std::size_t size() const noexcept;
    /// \return Time after which a refused caller should retry, randomized so that refused callers
    /// don't all retry at once.
    [[nodiscard]] Duration retryAfter(Random &random) const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace baobabtrail
