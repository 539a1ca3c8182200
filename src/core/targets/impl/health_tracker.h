#pragma once

#include "core/targets/target_status.h"
#include "core/time.h"

#include <cstdint>
#include <optional>

namespace baobabtrail::impl {

/// \brief Passive health check of one target by its owner, with ejection, probes and warm-up.
///
/// Only answers and missing answers count; what the target reports of its own health does not.
class HealthTracker
{
public:
    /// \brief The target answered a hello.
    /// \param sameService Whether it serves the service that it was declared for.
    /// \param cold Whether the target is new and has to warm up.
    void verified(bool sameService, bool cold, TimePoint now) noexcept;
    void linkLost(TimePoint now) noexcept;
    void succeeded(TimePoint now) noexcept;
    /// \brief An answer that is no success, such as a shed attempt: the target is alive.
    void answered(TimePoint now) noexcept;
    void unanswered(TimePoint now) noexcept;
    void openAnswered(TimePoint now) noexcept;
    void openUnanswered(TimePoint now) noexcept;
    void heard(TimePoint now) noexcept;
    void probeStarted(TimePoint now) noexcept { m_lastProbe = now; }

    [[nodiscard]] TargetHealth health(TimePoint now) const noexcept;
    [[nodiscard]] bool ejected() const noexcept { return m_ejectedAt.has_value(); }
    [[nodiscard]] bool linkUp() const noexcept { return m_linkUp; }
    /// \return Whether the target has confirmed the service that it was declared for.
    [[nodiscard]] bool identified() const noexcept { return m_identified && !m_mismatch; }
    /// \return Whether an ejected target may get one attempt or open now, as a probe.
    [[nodiscard]] bool mayProbe(TimePoint now) const noexcept;
    /// \return Share of its capacity that the target may use, from 0 to 1.
    [[nodiscard]] double share(TimePoint now) const noexcept;
    [[nodiscard]] std::uint32_t linkLosses() const noexcept { return m_linkLosses; }
    /// \return When the next probe may start, while ejected.
    [[nodiscard]] std::optional<TimePoint> probeAt() const noexcept;

private:
    void countFailure(TimePoint now) noexcept;
    void countSuccess(TimePoint now) noexcept;
    void eject(TimePoint now) noexcept;
    void readmit(TimePoint now) noexcept;

    bool m_linkUp = false;
    bool m_identified = false;
    bool m_mismatch = false;
    std::uint32_t m_linkLosses = 0; ///< Since the last success.
    std::uint32_t m_unanswered = 0; ///< Attempts in a row.
    std::uint32_t m_unansweredOpens = 0;
    double m_failureShare = 0;
    double m_samples = 0;
    std::optional<TimePoint> m_ejectedAt;
    std::uint32_t m_ejections = 0; ///< Reset once the target was good for EjectionsResetAfter.
    std::uint32_t m_probeSuccesses = 0;
    bool m_helloSinceEjection = false;
    TimePoint m_lastProbe = TimePoint::min();
    std::optional<TimePoint> m_warmSince;
    std::optional<TimePoint> m_goodSince;
};

} // namespace baobabtrail::impl
