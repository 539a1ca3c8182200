#include "core/direct/probe_scheduler.h"

#include <algorithm>

namespace baobabtrail {

namespace {

/// Each probe takes a file descriptor and part of a small CPU.
constexpr std::size_t MaxConcurrentProbes = 16;
/// Failed targets of a domain within SweepWindow that are more than coincidence.
constexpr std::size_t MinSilentForSweep = 2;
constexpr Duration SweepWindow = 1s;
/// One reported target within SweepWindow for so many of a domain is more than coincidence: callers
/// meet only a part of the failed ones in that time.
constexpr std::size_t TargetsPerReported = 200;
/// Least time between two sweeps of the same domain.
constexpr Duration MinSweepInterval = 2s;
/// The same where all daemons of the domain sweep together: one sweep finds what has failed, and
/// the next one costs as many connections again.
constexpr Duration MinReportedSweepInterval = 10s;

} // namespace

void ProbeScheduler::requestFirst(TargetId target)
{
    if (!m_pending.insert(target).second && std::erase(m_waiting, target) == 0)
        return;
    m_waiting.push_front(target);
}

void ProbeScheduler::request(TargetId target)
{
    if (m_pending.insert(target).second)
        m_waiting.push_back(target);
}

std::vector<TargetId> ProbeScheduler::startNext()
{
    std::vector<TargetId> out;
    while (!m_waiting.empty() && m_running < MaxConcurrentProbes) {
        out.push_back(m_waiting.front());
        m_waiting.pop_front();
        ++m_running;
    }
    return out;
}

void ProbeScheduler::finished(TargetId target)
{
    if (m_pending.erase(target) > 0)
        --m_running;
}

bool ProbeScheduler::startAtOnce(TargetId target)
{
    if (!m_pending.insert(target).second)
        return false;
    ++m_running;
    return true;
}

bool ProbeScheduler::shouldSweep(Sweep &sweep, Failures &failures, std::size_t least,
                                 Duration interval, TimePoint now)
{
    if (now - failures.since > SweepWindow)
        failures = {0, now};
    ++failures.count;
    if (failures.count < least || now - sweep.sweptAt < interval)
        return false;
    sweep.sweptAt = now;
    return true;
}

bool ProbeScheduler::shouldSweep(const std::string &domain, TimePoint now)
{
    Sweep &sweep = m_sweeps[domain];
    return shouldSweep(sweep, sweep.silent, MinSilentForSweep, MinSweepInterval, now);
}

bool ProbeScheduler::shouldSweepReported(const std::string &domain, std::size_t targets,
                                         TimePoint now)
{
    Sweep &sweep = m_sweeps[domain];
    const std::size_t least = std::max(MinSilentForSweep, targets / TargetsPerReported);
    return shouldSweep(sweep, sweep.reported, least, MinReportedSweepInterval, now);
}

} // namespace baobabtrail
