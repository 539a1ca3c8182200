#include "core/targets/impl/health_tracker.h"

#include <algorithm>

namespace baobabtrail::impl {

namespace {

constexpr std::uint32_t UnansweredToEject = 5;
constexpr std::uint32_t LinkLossesToEject = 3;
constexpr double FailureShareToEject = 0.5;
constexpr double MinSamples = 10;
constexpr double FailureShareGain = 0.1;
constexpr std::uint32_t SuccessesToReadmit = 3;
constexpr std::uint32_t MaxDoublings = 5;
constexpr Duration InitialBackOff = 1s;
constexpr Duration ProbeSpacing = 100ms;
constexpr Duration WarmUp = 10s;
constexpr double InitialShare = 0.25;
constexpr Duration EjectionsResetAfter = 60s;

[[nodiscard]] Duration backOff(std::uint32_t ejections) noexcept
{
    return InitialBackOff * (1U << std::min(ejections > 0 ? ejections - 1 : 0, MaxDoublings));
}

} // namespace

void HealthTracker::verified(bool sameService, bool cold, TimePoint now) noexcept
{
    m_linkUp = true;
    m_mismatch = !sameService;
    if (m_mismatch)
        return;
    if (!m_identified && cold)
        m_warmSince = now;
    m_identified = true;
    m_unansweredOpens = 0;
    m_helloSinceEjection = true;
}

void HealthTracker::linkLost(TimePoint now) noexcept
{
    m_linkUp = false;
    ++m_linkLosses;
    m_helloSinceEjection = false;
    if (m_linkLosses >= LinkLossesToEject)
        eject(now);
}

void HealthTracker::succeeded(TimePoint now) noexcept
{
    m_linkLosses = 0;
    m_unanswered = 0;
    countSuccess(now);
}

void HealthTracker::answered(TimePoint now) noexcept
{
    m_unanswered = 0;
    if (ejected())
        countSuccess(now);
}

void HealthTracker::unanswered(TimePoint now) noexcept
{
    ++m_unanswered;
    countFailure(now);
    if (m_unanswered >= UnansweredToEject)
        eject(now);
}

void HealthTracker::openAnswered(TimePoint now) noexcept
{
    m_unansweredOpens = 0;
    countSuccess(now);
}

void HealthTracker::openUnanswered(TimePoint now) noexcept
{
    ++m_unansweredOpens;
    countFailure(now);
    if (m_unansweredOpens >= UnansweredToEject)
        eject(now);
}

void HealthTracker::heard(TimePoint) noexcept
{
    // Traffic on established flows shows that the machine is alive, not that it accepts new work:
    // it doesn't reset the count of unanswered attempts and doesn't readmit the target.
    m_unansweredOpens = std::min(m_unansweredOpens, UnansweredToEject - 2);
}

void HealthTracker::countFailure(TimePoint now) noexcept
{
    m_samples += 1;
    m_failureShare += FailureShareGain * (1.0 - m_failureShare);
    if (ejected()) {
        m_ejectedAt.reset();
        eject(now);
        return;
    }
    if (m_samples >= MinSamples && m_failureShare >= FailureShareToEject)
        eject(now);
}

void HealthTracker::countSuccess(TimePoint now) noexcept
{
    m_samples += 1;
    m_failureShare -= FailureShareGain * m_failureShare;
    if (!ejected()) {
        if (m_goodSince && now - *m_goodSince >= EjectionsResetAfter)
            m_ejections = 0;
        return;
    }
    if (++m_probeSuccesses >= SuccessesToReadmit)
        readmit(now);
}

void HealthTracker::eject(TimePoint now) noexcept
{
    if (ejected())
        return;
    m_ejectedAt = now;
    ++m_ejections;
    m_probeSuccesses = 0;
    m_helloSinceEjection = false;
    m_warmSince.reset();
    m_goodSince.reset();
}

void HealthTracker::readmit(TimePoint now) noexcept
{
    m_ejectedAt.reset();
    m_failureShare = 0;
    m_samples = 0;
    m_unanswered = 0;
    m_unansweredOpens = 0;
    m_warmSince = now;
    m_goodSince = now;
}

TargetHealth HealthTracker::health(TimePoint now) const noexcept
{
    if (m_mismatch)
        return TargetHealth::Mismatch;
    if (!m_identified)
        return TargetHealth::Unverified;
    if (ejected())
        return TargetHealth::Ejected;
    if (share(now) < 1.0)
        return TargetHealth::Warming;
    return TargetHealth::Good;
}

bool HealthTracker::mayProbe(TimePoint now) const noexcept
{
    const std::optional<TimePoint> at = probeAt();
    return at && now >= *at && m_helloSinceEjection;
}

std::optional<TimePoint> HealthTracker::probeAt() const noexcept
{
    if (!ejected())
        return std::nullopt;
    const TimePoint rested = *m_ejectedAt + backOff(m_ejections);
    if (m_lastProbe == TimePoint::min())
        return rested;
    return std::max(rested, m_lastProbe + ProbeSpacing);
}

double HealthTracker::share(TimePoint now) const noexcept
{
    if (!m_warmSince)
        return 1.0;
    const auto grown
        = static_cast<double>((now - *m_warmSince).count()) / static_cast<double>(WarmUp.count());
    return std::clamp(InitialShare + (1.0 - InitialShare) * grown, InitialShare, 1.0);
}

} // namespace baobabtrail::impl
