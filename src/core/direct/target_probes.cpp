#include "core/direct/target_probes.h"

namespace baobabtrail {

namespace {

/// Connections that are tried at once: each takes a descriptor and some of a small processor.
constexpr std::size_t MostAtOnce = 16;
/// Silent targets of a domain within this time that are more than chance.
constexpr std::uint32_t SweepFrom = 2;
constexpr Duration SweepWithin = 1s;
/// Between two sweeps of a domain.
constexpr Duration SweepPause = 2s;

} // namespace

void TargetProbes::wantFirst(TargetId target)
{
    if (!m_known.insert(target).second && std::erase(m_waiting, target) == 0)
        return;
    m_waiting.push_front(target);
}

void TargetProbes::want(TargetId target)
{
    if (m_known.insert(target).second)
        m_waiting.push_back(target);
}

std::vector<TargetId> TargetProbes::begin()
{
    std::vector<TargetId> out;
    while (!m_waiting.empty() && m_running < MostAtOnce) {
        out.push_back(m_waiting.front());
        m_waiting.pop_front();
        ++m_running;
    }
    return out;
}

void TargetProbes::ended(TargetId target)
{
    if (m_known.erase(target) > 0)
        --m_running;
}

bool TargetProbes::sweeps(const std::string &domain, TimePoint now)
{
    Sweep &sweep = m_sweeps[domain];
    if (now - sweep.since > SweepWithin) {
        sweep.since = now;
        sweep.silent = 0;
    }
    ++sweep.silent;
    if (sweep.silent < SweepFrom || now - sweep.sweptAt < SweepPause)
        return false;
    sweep.sweptAt = now;
    return true;
}

} // namespace baobabtrail
