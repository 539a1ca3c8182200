#pragma once

#include "core/messages/peer.h"
#include "core/time.h"

#include <deque>
#include <optional>
#include <unordered_map>

namespace baobabtrail {

/// \brief An open that was sent to a target and waits for its answer.
struct PendingOpen
{
    Handoff ask; ///< Holds an OpenFlow.
    FlowToken token;
    TimePoint until;
};

/// \brief Bounded table of opens that wait for an answer, one per flow.
///
/// Losing an entry is harmless: an accept reaches its caller by the address that the target echoes.
class PendingOpens
{
public:
    PendingOpens(std::size_t capacity, Duration timeout) noexcept
        : m_capacity(capacity)
        , m_timeout(timeout)
    {
    }

    [[nodiscard]] std::size_t size() const noexcept { return m_opens.size(); }
    [[nodiscard]] bool full() const noexcept { return m_opens.size() >= m_capacity; }
    [[nodiscard]] const PendingOpen *find(FlowId flow) const noexcept;

    /// \brief Adds an open, or replaces the flow's earlier one.
    void add(FlowId flow, Handoff ask, const FlowToken &token, TimePoint now);
    /// \brief Removes the open of a flow that was sent with this token.
    /// \return The open, or nothing where there is none.
    [[nodiscard]] std::optional<PendingOpen> take(FlowId flow, const FlowToken &token);
    /// \brief Removes an open whose timeout has passed.
    /// \return The open, or nothing where there is none.
    [[nodiscard]] std::optional<PendingOpen> takeExpired(TimePoint now);
    [[nodiscard]] std::optional<TimePoint> nextTimer() const noexcept;
    [[nodiscard]] bool hasPendingOpen(TargetId target) const noexcept;

private:
    struct Expiry
    {
        TimePoint at;
        FlowId flow;
    };

    std::size_t m_capacity;
    Duration m_timeout;
    std::unordered_map<FlowId, PendingOpen> m_opens;
    std::deque<Expiry> m_expiries; // Ordered by time, as all have the same timeout.
    std::unordered_map<TargetId, std::size_t> m_perTarget;
};

} // namespace baobabtrail
