#include "core/direct/probe_scheduler.h"

namespace baobabtrail {

namespace {

/// Each probe takes a file descriptor and part of a small CPU.
constexpr std::size_t MaxConcurrentProbes = 16;
/// Failed targets of a domain within SweepWindow that are more than coincidence.
constexpr std::uint32_t MinSilentForSweep = 2;
constexpr Duration SweepWindow = 1s;
/// Least time between two sweeps of the same domain.
constexpr Duration MinSweepInterval = 2s;

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

bool ProbeScheduler::shouldSweep(const std::string &domain, TimePoint now)
{
    Sweep &sweep = m_sweeps[domain];
    if (now - sweep.since > SweepWindow) {
        sweep.since = now;
        sweep.silent = 0;
    }
    ++sweep.silent;
    if (sweep.silent < MinSilentForSweep || now - sweep.sweptAt < MinSweepInterval)
        return false;
    sweep.sweptAt = now;
    return true;
}

} // namespace baobabtrail
