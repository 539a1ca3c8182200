#pragma once

#include "core/limits/admission_queue.h"

#include <optional>
#include <vector>

namespace baobabtrail {

/// \brief The queue of one target: requests that are reserved or waiting, and not started yet.
///
/// A reservation takes a place in the queue before the data of its request arrives; it can't start
/// before that. Requests moved here from another target are started before the others.
class TargetQueue
{
public:
    TargetQueue()
        : m_queue(1)
    {
    }

    /// \param capacity Bound on the entries, those moved from other targets not counted.
    /// \param weight Share of the workspace.
    void configure(std::size_t capacity, const std::string &workspace, std::uint32_t weight);

    /// \brief Adds a request that is reserved and has not arrived yet.
    /// \param displaced Set to the entry of a less urgent class that was evicted, if any.
    /// \return The reason and the time to retry after, or nothing where it was added.
    [[nodiscard]] std::optional<QueueRefusal> admit(QueueEntry entry, TimePoint now, Random &random,
                                                    std::optional<QueueEntry> &displaced);
    /// \brief Adds a request that another target could not run, ahead of the others and beyond the
    /// capacity.
    void addMoved(const QueueEntry &entry, bool ready);
    /// \brief Marks a request whose data has arrived: it may start.
    void setReady(const RequestId &request);
    /// \brief Removes the next request to start.
    /// \param expired Entries past their deadline are moved here.
    /// \return The request, or nothing where none may start.
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
