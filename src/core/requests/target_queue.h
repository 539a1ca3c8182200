#pragma once

#include "core/limits/admission_queue.h"

#include <optional>
#include <vector>

namespace baobabtrail {

/// \brief The requests that hold a place at one target: reserved or queued, not yet started.
///
/// A place is taken by the reservation, before the request itself is here; it starts no earlier.
class TargetQueue
{
public:
    TargetQueue()
        : m_queue(1)
    {
    }

    /// \param capacity Most places. \param weight Share of the workspace.
    void configure(std::size_t capacity, const std::string &workspace, std::uint32_t weight);

    /// \brief Takes a place.
    /// \param displaced Set to the entry that had to go.
    /// \return Nothing where it was taken, else why not.
    [[nodiscard]] std::optional<QueueRefusal> admit(QueueEntry entry, TimePoint now, Random &random,
                                                    std::optional<QueueEntry> &displaced);
    /// \brief Takes a place in front, whether there is room or not, for a request that another
    /// target could not run.
    void addMoved(const QueueEntry &entry, bool ready);
    /// \brief The request itself has come.
    void setReady(const RequestId &request);
    /// \return The next request to start, or nothing. Entries past their deadline go to \a expired.
    [[nodiscard]] std::optional<RequestId> pop(TimePoint now, std::vector<QueueEntry> &expired);
    void remove(const RequestId &request);
    void slotFreed(Duration ran, std::uint32_t slots, TimePoint now) noexcept
    {
        m_queue.slotFreed(ran, slots, now);
    }

    [[nodiscard]] std::size_t size() const noexcept { return m_queue.size() + m_moved.size(); }
    [[nodiscard]] Duration retryAfter(Random &random) const { return m_queue.retryAfter(random); }

private:
    struct MovedRequest
    {
        RequestId request;
        RequestClass requestClass = RequestClass::Normal;
        bool ready = false;
    };

    [[nodiscard]] std::optional<RequestId> popMoved();

    AdmissionQueue m_queue;
    std::vector<MovedRequest> m_moved;
};

} // namespace baobabtrail
