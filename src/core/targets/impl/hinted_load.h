#pragma once

#include "core/load.h"
#include "core/time.h"

#include <cstdint>

namespace baobabtrail::impl {

/// \brief Load that an owner gives for a target which may get no work.
inline constexpr float UnavailableLoad = 1e6F;

/// \brief The load of a target that another daemon owns, from what was last heard of it.
class HintedLoad
{
public:
    void applyHint(const LoadHint &hint, TimePoint now) noexcept;
    void sentRequest(double share) noexcept { m_requestsSent += share; }
    void sentFlow(double share) noexcept { m_flowsSent += share; }

    /// \brief What the load is by now: what was heard fades into \a average.
    ///
    /// A stale low load would draw every daemon's asks at once, a stale high one would keep them
    /// away for ever; after a few service times neither says more than the mean of all.
    [[nodiscard]] double requests(double average, Duration decayTime, TimePoint now) const noexcept;
    [[nodiscard]] double flows(double average, TimePoint now) const noexcept;
    /// \return Whether its owner said lately that it may get no work.
    [[nodiscard]] bool unavailable(TimePoint now) const noexcept;
    [[nodiscard]] bool known() const noexcept { return m_hintedAt != TimePoint::min(); }

private:
    LoadHint m_last;
    TimePoint m_hintedAt = TimePoint::min();
    double m_requestsSent = 0; ///< Asks sent since, over the target's limit.
    double m_flowsSent = 0;
};

/// \brief Whether another daemon answers the asks that are handed to it.
///
/// The view drops a dead daemon only after seconds; until then every ask that it gets is lost and
/// its caller waits for nothing. Three asks without an answer end that; one now and then,
/// less and less often, finds out whether it is back.
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
