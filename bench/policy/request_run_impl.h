#pragma once

#include "request_run.h"

#include <algorithm>

namespace baobabtrail::bench {

inline constexpr std::size_t FaultyTarget = 3;
inline constexpr std::size_t FaultyDaemon = 2;

inline RequestRun::RequestRun(const Scenario &scenarioOfRun, const Layout &layoutOfRun,
                              std::uint64_t seed)
    : scenario(scenarioOfRun)
    , layout(layoutOfRun)
    , sim(seed)
    , targets(layoutOfRun.targets)
    , daemonUp(layoutOfRun.daemons, true)
    , daemonSeen(layoutOfRun.daemons, true)
    , m_jobs(seed + 1)
{
    for (FakeTarget &target : targets)
        target.slots = layout.slots;
    if (scenario.fault == Fault::ColdTarget)
        targets[FaultyTarget].placeable = false;
    if (scenario.fault == Fault::DaemonJoins) {
        daemonUp[FaultyDaemon] = false;
        daemonSeen[FaultyDaemon] = false;
    }
}

inline Duration RequestRun::hop(std::size_t fromDomain, std::size_t toDomain)
{
    return fromSeconds(fromDomain == toDomain ? sim.uniform(0.0001, 0.0005) : 0.0005);
}

inline std::size_t RequestRun::someEntry()
{
    for (;;) {
        const std::size_t entry = sim.below(layout.daemons);
        if (daemonSeen[entry])
            return entry;
    }
}

inline bool RequestRun::measuring() const
{
    const Duration from = scenario.fault == Fault::None ? scenario.measuredFrom
                                                        : scenario.faultAt + scenario.measuredFrom;
    return sim.now() >= TimePoint{} + from;
}

inline Job RequestRun::makeJob()
{
    Job job;
    ++m_count;
    job.id = RequestId{m_jobs(), m_count};
    job.arrived = sim.now();
    job.deadline = sim.now() + 2s;
    job.work = boost::random::exponential_distribution<double>{1.0}(m_jobs);
    if (!scenario.mixed)
        return job;
    boost::random::uniform_real_distribution<double> part{0, 1};
    const double kind = part(m_jobs);
    // The flooding workspace sends in the class of the swaps; three workspaces share the rest
    // evenly.
    if (part(m_jobs) < 0.7) {
        job.workspace = "flood";
        job.requestClass = RequestClass::Normal;
        return job;
    }
    job.workspace = "tenant" + std::to_string(m_count % 3);
    job.requestClass = kind < 0.4   ? RequestClass::Urgent
                       : kind < 0.8 ? RequestClass::Normal
                                    : RequestClass::Bulk;
    return job;
}

inline void RequestRun::scheduleArrival()
{
    const double capacity = static_cast<double>(layout.targets * layout.slots)
                            / std::chrono::duration<double>(MeanService).count();
    double rate = scenario.load * capacity;
    if (scenario.bursty) {
        // Bursts of a fifth of a second at twice the rate, for a fifth of the time.
        if (sim.now() >= m_burstUntil) {
            m_burst = !m_burst;
            const double mean = m_burst ? 0.2 : 0.8;
            m_burstUntil = sim.now()
                           + fromSeconds(
                               boost::random::exponential_distribution<double>{1.0 / mean}(m_jobs));
        }
        rate *= m_burst ? 2.0 : 0.75;
    }
    const double gap = boost::random::exponential_distribution<double>{rate}(m_jobs);
    sim.after(fromSeconds(gap), [this] {
        const Job job = makeJob();
        sample();
        if (measuring()) {
            ++result.classes[static_cast<std::size_t>(job.requestClass)].offered;
            ++result.workspaces[job.workspace].offered;
        }
        m_arrive(job, someEntry());
        scheduleArrival();
    });
}

inline void RequestRun::scheduleFault(const std::function<void(Fault)> &tell)
{
    if (scenario.fault == Fault::None)
        return;
    sim.after(scenario.faultAt, [this, tell] {
        applyFault();
        tell(scenario.fault);
    });
}

inline void RequestRun::applyFault()
{
    switch (scenario.fault) {
    case Fault::SlowTarget:
        targets[FaultyTarget].slowness = 5;
        return;
    case Fault::ColdTarget:
        targets[FaultyTarget].placeable = true;
        warmUp(FaultyTarget, 0);
        return;
    case Fault::Drain:
        targets[FaultyTarget].placeable = false;
        return;
    case Fault::DaemonJoins:
        daemonUp[FaultyDaemon] = true;
        daemonSeen[FaultyDaemon] = true;
        return;
    case Fault::DaemonDies:
        daemonUp[FaultyDaemon] = false;
        sim.after(1s, [this] { daemonSeen[FaultyDaemon] = false; });
        return;
    default:
        return;
    }
}

inline void RequestRun::warmUp(std::size_t target, int step)
{
    targets[target].slowness = 4.0 - 0.3 * step;
    if (step < 10)
        sim.after(1s, [this, target, step] { warmUp(target, step + 1); });
}

inline void RequestRun::serve(std::size_t target, const Job &job, std::function<void()> done)
{
    FakeTarget &server = targets[target];
    if (server.running < server.slots) {
        begin(target, job, std::move(done));
        return;
    }
    server.queue.push_back(
        [this, target, job, done = std::move(done)]() mutable { begin(target, job, done); });
}

inline void RequestRun::begin(std::size_t target, const Job &job, std::function<void()> done)
{
    FakeTarget &server = targets[target];
    ++server.running;
    const double mean = std::chrono::duration<double>(MeanService).count();
    sim.after(fromSeconds(job.work * mean * server.slowness),
              [this, target, done = std::move(done)] {
                  FakeTarget &ending = targets[target];
                  --ending.running;
                  --ending.assigned;
                  if (!ending.queue.empty()) {
                      auto next = std::move(ending.queue.front());
                      ending.queue.pop_front();
                      next();
                  }
                  done();
              });
}

inline LoadReport RequestRun::reportOf(std::size_t target)
{
    FakeTarget &server = targets[target];
    LoadReport report;
    report.running = server.running;
    report.queued = static_cast<std::uint32_t>(server.queue.size());
    if (target == FaultyTarget && scenario.fault == Fault::LyingEmpty)
        return {};
    if (target == FaultyTarget && scenario.fault == Fault::LyingFull)
        return {1000, 1000, 100000};
    if (scenario.fault != Fault::LateReports)
        return report;
    server.past.emplace_back(sim.now(), report);
    while (server.past.size() > 1 && server.past[1].first <= sim.now() - 1s)
        server.past.pop_front();
    return server.past.front().second;
}

inline void RequestRun::sample()
{
    if (!measuring())
        return;
    double most = 0;
    double sum = 0;
    double mostInside = 0;
    double sumInside = 0;
    double count = 0;
    for (const FakeTarget &target : targets) {
        if (!target.placeable)
            continue;
        const double inside = target.running + static_cast<double>(target.queue.size());
        most = std::max<double>(most, target.assigned);
        sum += target.assigned;
        mostInside = std::max(mostInside, inside);
        sumInside += inside;
        count += 1;
    }
    if (sum == 0 || sumInside == 0)
        return;
    result.imbalance.push_back(most * count / sum);
    result.atTarget.push_back(mostInside * count / sumInside);
}

inline void RequestRun::answered(const Job &job)
{
    if (!measuring())
        return;
    m_answeredWork += job.work;
    ++result.classes[static_cast<std::size_t>(job.requestClass)].answered;
    ++result.workspaces[job.workspace].answered;
    result.latencies.push_back(toMilliseconds(sim.now() - job.arrived));
}

inline void RequestRun::refused(const Job &job)
{
    if (!measuring())
        return;
    ++result.classes[static_cast<std::size_t>(job.requestClass)].refused;
    ++result.workspaces[job.workspace].refused;
    result.refusalTimes.push_back(toMilliseconds(sim.now() - job.arrived));
}

inline void RequestRun::lost(const Job &)
{
    if (measuring())
        ++result.lost;
}

inline void RequestRun::finish()
{
    const Duration from = scenario.fault == Fault::None ? scenario.measuredFrom
                                                        : scenario.faultAt + scenario.measuredFrom;
    const double seconds = std::chrono::duration<double>(scenario.length - from).count();
    const double capacity = static_cast<double>(layout.targets * layout.slots) * seconds
                            / std::chrono::duration<double>(MeanService).count();
    result.goodput = m_answeredWork / capacity;
}

} // namespace baobabtrail::bench
