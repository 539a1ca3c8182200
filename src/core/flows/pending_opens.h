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

/// \brief Opens that wait for an answer, at most a fixed number, one of each flow.
///
/// Losing one is harmless: an accept finds its caller by the address that the target echoes.
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

    /// \brief Adds an open, or takes the place of the flow's earlier one.
    void add(FlowId flow, Handoff ask, const FlowToken &token, TimePoint now);
    /// \return The open, no longer pending, where it waits for the token's target.
    [[nodiscard]] std::optional<PendingOpen> take(FlowId flow, const FlowToken &token);
    /// \return An open whose time is over, no longer pending.
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
    std::deque<Expiry> m_expiries; // In order of time, as all wait equally long.
    std::unordered_map<TargetId, std::size_t> m_perTarget;
};

} // namespace baobabtrail
