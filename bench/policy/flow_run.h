#pragma once

#include "scenario.h"
#include "simulator.h"

#include "core/targets/target_table.h"

#include <algorithm>
#include <limits>
#include <map>
#include <memory>
#include <vector>

namespace baobabtrail::bench {

enum class FlowPolicy { Random, TwoByReports, Product, FewestConnections };

struct FlowResult
{
    std::vector<double> imbalance; ///< Maximum over mean of open connections per weight.
    std::vector<double> least;     ///< Minimum over mean of the same.
    double faultyShare = 1;        ///< Flows opened at the faulty target, over its even share.
    std::uint64_t refused = 0;
};

/// \brief Simulation of flows that open and close; every policy places the same flows.
class FlowRun
{
public:
    FlowRun(const Scenario &scenario, const Layout &layout, std::uint64_t seed, FlowPolicy policy)
        : m_scenario(scenario)
        , m_layout(layout)
        , m_policy(policy)
        , m_sim(seed)
        , m_flows(seed + 1)
        , m_held(layout.targets, 0)
        , m_weight(layout.targets, 100)
        , m_open(layout.targets, true)
        , m_alive(layout.daemons, true)
        , m_past(layout.targets)
    {
    }

    [[nodiscard]] FlowResult play()
    {
        start();
        scheduleOpen();
        m_sim.after(m_scenario.faultAt, [this] { applyFault(); });
        m_sim.run(TimePoint{} + m_scenario.length);
        const double even = static_cast<double>(m_opened) * m_weight[Faulty]
                            / static_cast<double>(100 * m_layout.targets);
        m_result.faultyShare = static_cast<double>(m_faultyOpened) / std::max(even, 1.0);
        return std::move(m_result);
    }

private:
    static constexpr std::size_t Faulty = 3;
    static constexpr std::size_t DyingDaemon = 2;
    static constexpr double HeldPerTarget = 2000;
    static constexpr double MeanLifeSeconds = 60;
    static constexpr Duration HelloPeriod = 3s;
    static constexpr std::uint32_t MaxHops = 2;

    struct Ask
    {
        FlowId flow;
        double life = 0;
        std::size_t entry = 0;
        std::uint32_t hops = 0;
        std::vector<LoadHint> declined;
    };

    [[nodiscard]] TargetId idOf(std::size_t target) const { return targetOf(target, m_layout).id; }
    [[nodiscard]] Duration hop() { return fromSeconds(m_sim.uniform(0.0001, 0.0005)); }

    void start()
    {
        m_config = configOf(m_layout);
        if (m_scenario.fault == Fault::ColdTarget) {
            m_open[Faulty] = false;
            m_config.services[theService()].targets.erase(idOf(Faulty));
        }
        if (m_scenario.fault == Fault::DaemonJoins)
            m_alive[DyingDaemon] = false;
        for (std::size_t i = 0; i < m_layout.targets; ++i)
            m_index[idOf(i)] = i;
        for (std::size_t i = 0; i < m_layout.daemons; ++i)
            m_tables.push_back(std::make_unique<TargetTable>());
        configure();
        hello();
    }

    void configure()
    {
        const auto config = std::make_shared<const Config>(m_config);
        for (std::size_t i = 0; i < m_tables.size(); ++i) {
            if (!m_alive[i])
                continue;
            m_tables[i]->configure(config, viewOf(i, m_layout, m_alive), m_sim.now());
            verify(i);
        }
    }

    void verify(std::size_t daemon)
    {
        TargetTable &table = *m_tables[daemon];
        for (const TargetId target : table.owned())
            table.linkVerified(target, theService(), reportOf(m_index[target]), m_sim.now());
    }

    void hello()
    {
        m_sim.after(HelloPeriod, [this] {
            for (std::size_t i = 0; i < m_tables.size(); ++i) {
                if (m_alive[i])
                    verify(i);
            }
            hello();
        });
    }

    [[nodiscard]] LoadReport reportOf(std::size_t target)
    {
        const bool lies = target == Faulty && m_sim.now() >= TimePoint{} + m_scenario.faultAt;
        if (lies && m_scenario.fault == Fault::LyingEmpty)
            return {};
        if (lies && m_scenario.fault == Fault::LyingFull)
            return {1000, 1000, 100000};
        if (m_scenario.fault != Fault::LateReports)
            return {0, 0, m_held[target]};
        auto &past = m_past[target];
        past.emplace_back(m_sim.now(), m_held[target]);
        while (past.size() > 1 && past[1].first <= m_sim.now() - 1s)
            past.erase(past.begin());
        return {0, 0, past.front().second};
    }

    void applyFault()
    {
        std::map<TargetId, TargetConfig> &targets = m_config.services[theService()].targets;
        switch (m_scenario.fault) {
        case Fault::ColdTarget:
            m_open[Faulty] = true;
            targets[idOf(Faulty)] = targetOf(Faulty, m_layout);
            return configure();
        case Fault::Drain:
            m_open[Faulty] = false;
            targets[idOf(Faulty)].state = TargetState::Draining;
            return configure();
        case Fault::HalfWeight:
            m_weight[Faulty] = 50;
            targets[idOf(Faulty)].weight = 50;
            return configure();
        case Fault::DaemonJoins:
            m_alive[DyingDaemon] = true;
            return configure();
        case Fault::DaemonDies:
            m_alive[DyingDaemon] = false;
            m_sim.after(m_scenario.viewDelay, [this] { configure(); });
            return;
        default:
            return;
        }
    }

    void scheduleOpen()
    {
        const double steady
            = HeldPerTarget * static_cast<double>(m_layout.targets) / MeanLifeSeconds;
        // The initial population of flows opens within the first two seconds.
        const bool filling = m_sim.now() < TimePoint{} + 2s;
        const double rate
            = filling ? HeldPerTarget * static_cast<double>(m_layout.targets) / 2 : steady;
        const double gap = boost::random::exponential_distribution<double>{rate}(m_flows);
        m_sim.after(fromSeconds(gap), [this] {
            Ask ask;
            ask.flow = FlowId{m_flows()};
            ask.life
                = boost::random::exponential_distribution<double>{1 / MeanLifeSeconds}(m_flows);
            sample();
            ask.entry = someEntry();
            open(std::move(ask));
            scheduleOpen();
        });
    }

    [[nodiscard]] std::size_t someEntry()
    {
        for (;;) {
            const std::size_t entry = m_sim.below(m_layout.daemons);
            if (m_alive[entry])
                return entry;
        }
    }

    [[nodiscard]] bool measuring() const
    {
        return m_sim.now() >= TimePoint{} + m_scenario.faultAt + m_scenario.measuredFrom;
    }

    void sample()
    {
        if (!measuring())
            return;
        double most = 0;
        double least = std::numeric_limits<double>::infinity();
        double sum = 0;
        double count = 0;
        for (std::size_t i = 0; i < m_held.size(); ++i) {
            // Targets that take no new flows aren't counted. A target that was just added can't
            // have its full share yet; what matters is that no target holds too many.
            if (!m_open[i])
                continue;
            const double load = m_held[i] / static_cast<double>(m_weight[i]);
            most = std::max(most, load);
            least = std::min(least, load);
            sum += load;
            count += 1;
        }
        m_result.imbalance.push_back(most * count / sum);
        m_result.least.push_back(least * count / sum);
    }

    void open(Ask ask)
    {
        const std::size_t entry = ask.entry;
        if (m_policy == FlowPolicy::Product)
            return route(entry, std::move(ask));
        const std::size_t target = m_policy == FlowPolicy::Random         ? anyTarget()
                                   : m_policy == FlowPolicy::TwoByReports ? twoByReports()
                                                                          : fewest();
        accept(target, ask);
    }

    [[nodiscard]] std::size_t anyTarget()
    {
        for (;;) {
            const std::size_t target = m_sim.below(m_layout.targets);
            if (m_open[target])
                return target;
        }
    }

    [[nodiscard]] std::size_t twoByReports()
    {
        const std::size_t one = anyTarget();
        const std::size_t other = anyTarget();
        const double first = reportOf(one).connections / static_cast<double>(m_weight[one]);
        const double second = reportOf(other).connections / static_cast<double>(m_weight[other]);
        return second < first ? other : one;
    }

    [[nodiscard]] std::size_t fewest()
    {
        std::size_t best = anyTarget();
        for (std::size_t i = 0; i < m_held.size(); ++i) {
            if (m_open[i] && m_held[i] * m_weight[best] < m_held[best] * m_weight[i])
                best = i;
        }
        return best;
    }

    void accept(std::size_t target, const Ask &ask)
    {
        ++m_held[target];
        if (measuring()) {
            ++m_opened;
            m_faultyOpened += target == Faulty ? 1 : 0;
        }
        m_sim.after(fromSeconds(ask.life), [this, target] { --m_held[target]; });
    }

    void route(std::size_t at, Ask ask)
    {
        const auto choice = m_tables[at]->chooseForFlow(theService(), ask.flow, 0, ask.declined,
                                                        m_sim.now(), m_sim.random);
        if (!choice) {
            ++m_result.refused;
            return;
        }
        if (choice->own)
            return offer(at, choice->target, std::move(ask));
        const std::size_t to = daemonAt(choice->owner);
        m_sim.after(hop(), [this, to, target = choice->target, ask = std::move(ask)]() mutable {
            handedOver(to, target, std::move(ask));
        });
    }

    void handedOver(std::size_t at, TargetId target, Ask ask)
    {
        if (!m_alive[at]) {
            m_sim.after(200ms, [this, ask = std::move(ask)]() mutable {
                const std::size_t entry = someEntry();
                ask.entry = entry;
                ask.declined.clear();
                route(entry, std::move(ask));
            });
            return;
        }
        if (m_tables[at]->owns(target) && m_tables[at]->takesFlow(target, m_sim.now()))
            return offer(at, target, std::move(ask));
        if (ask.hops++ >= MaxHops) {
            ++m_result.refused;
            return;
        }
        ask.declined.push_back(m_tables[at]->loadOf(target, m_sim.now()));
        route(at, std::move(ask));
    }

    void offer(std::size_t at, TargetId target, Ask ask)
    {
        m_tables[at]->flowOffered(target, m_sim.now());
        m_sim.after(hop(), [this, at, target, ask = std::move(ask)] {
            accept(m_index[target], ask);
            const LoadReport report = reportOf(m_index[target]);
            m_sim.after(hop(), [this, at, target, report, entry = ask.entry] {
                if (!m_alive[at])
                    return;
                m_tables[at]->flowAccepted(target, report, m_sim.now());
                const LoadHint load = m_tables[at]->loadOf(target, m_sim.now());
                m_sim.after(hop(), [this, entry, load] {
                    if (m_alive[entry])
                        m_tables[entry]->applyHint(load, m_sim.now());
                });
            });
        });
    }

    Scenario m_scenario;
    Layout m_layout;
    FlowPolicy m_policy;
    Simulator m_sim;
    Random m_flows;
    std::vector<std::uint32_t> m_held;
    std::vector<std::uint32_t> m_weight;
    std::vector<bool> m_open;
    std::vector<bool> m_alive;
    std::vector<std::vector<std::pair<TimePoint, std::uint32_t>>> m_past;
    Config m_config;
    std::map<TargetId, std::size_t> m_index;
    std::vector<std::unique_ptr<TargetTable>> m_tables;
    FlowResult m_result;
    std::uint64_t m_opened = 0;
    std::uint64_t m_faultyOpened = 0;
};

} // namespace baobabtrail::bench
