#pragma once

#include "core/load.h"
#include "core/time.h"

#include <cstdint>

namespace baobabtrail::impl {

/// \brief Load that an owner reports for a target that may get no work.
inline constexpr float UnavailableLoad = 1e6F;

/// \brief Load of a target that another daemon owns, estimated from the owner's last hint.
class HintedLoad
{
public:
    void applyHint(const LoadHint &hint, TimePoint now) noexcept;
    void sentRequest(double share) noexcept { m_requestsSent += share; }
    void sentFlow(double share) noexcept { m_flowsSent += share; }

    /// \brief Estimates the load of requests: the last hint, decaying to \a average.
    ///
    /// A stale low load would attract the requests of all daemons at once (thundering herd), a
    /// stale high one would keep them away for ever. After a few service times a hint is no better
    /// than the average of all targets. \param decayTime Time constant of the decay.
    [[nodiscard]] double requests(double average, Duration decayTime, TimePoint now) const noexcept;
    [[nodiscard]] double flows(double average, TimePoint now) const noexcept;
    /// \return Whether its owner recently reported that it may get no work.
    [[nodiscard]] bool unavailable(TimePoint now) const noexcept;
    [[nodiscard]] bool known() const noexcept { return m_hintedAt != TimePoint::min(); }

private:
    LoadHint m_last;
    TimePoint m_hintedAt = TimePoint::min();
    double m_requestsSent = 0; ///< Requests sent since the hint, over the target's limit.
    double m_flowsSent = 0;
};

/// \brief Whether another daemon answers the handoffs that are sent to it.
///
/// The view drops a dead daemon only after seconds; until then every handoff to it is lost and its
/// caller waits in vain. After three unanswered handoffs the daemon counts as silent. It is then
/// retried with exponential back-off, to notice when it is back.
class OwnerContact
{
public:
    void asked(TimePoint now) noexcept;
    void answered() noexcept { m_unanswered = 0; }
    [[nodiscard]] bool silent(TimePoint now) const noexcept;

private:
    std::uint32_t m_unanswered = 0;
    TimePoint m_since{};
    TimePoint m_last{};
};

} // namespace baobabtrail::impl
