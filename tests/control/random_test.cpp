#include "support/cluster.h"

#include <criterion/criterion.h>

using namespace baobabtrail;
using namespace baobabtrail::test;

namespace {

/// \brief A fault with a start and an end; two faults may overlap in any way.
struct TimedFault
{
    std::string name;
    std::function<void()> begin;
    std::function<void()> end;
};

class Scenario
{
public:
    explicit Scenario(std::uint64_t seed)
        : m_random(seed)
        , m_net(seed, 3)
        , m_seed(seed)
    {
        m_net.fault = [this](std::size_t node, const PlatformRequest &request) {
            for (const auto &[kind, how] : m_faults) {
                const bool hit = kind == kindOf(request) && pick(3) != 0;
                if (hit && (node % 3 == 0 || how != PlatformFault::Down))
                    return how;
            }
            return PlatformFault::None;
        };
    }

    void run()
    {
        const TimedFault first = randomFault();
        const TimedFault second = randomFault();
        const std::string name
            = "seed " + std::to_string(m_seed) + ": " + first.name + " with " + second.name;
        schedule(first);
        schedule(second);
        for (int change = 0; change < 12; ++change) {
            runFaultsUntil(m_net.now() + Duration{std::chrono::seconds{pick(5)}});
            proposeChange(change);
        }
        runFaultsUntil(TimePoint::max());
        m_faults.clear();
        m_net.healAll();
        for (std::size_t node = 0; node < m_net.size(); ++node) {
            if (!m_net.alive(node))
                m_net.start(node);
            m_net.thaw(node);
        }
        m_net.run(20s);
        for (int change = 0; change < 12; ++change) {
            if (m_expected.contains(change))
                continue;
            cr_expect(!m_net.accept(pick(9), record(change)).isNull(), "%s", name.c_str());
        }
        m_net.run(12s);
        const Revision newest = m_net.revision(0);
        for (std::size_t node = 0; node < m_net.size(); ++node)
            cr_expect(m_net.revision(node) == newest, "%s", name.c_str());
        const std::string problems = m_net.problems();
        cr_expect(problems.empty(), "%s:%s", name.c_str(), problems.c_str());
        cr_expect(!m_net.noticed("serving on revision") || m_net.noticed("Cut off"), "%s",
                  name.c_str());
    }

private:
    [[nodiscard]] std::size_t pick(std::size_t count)
    {
        return boost::random::uniform_int_distribution<std::size_t>{0, count - 1}(m_random);
    }

    [[nodiscard]] ChangeRecord record(int change)
    {
        return weightChange("w" + std::to_string(change), static_cast<std::uint32_t>(change));
    }

    void proposeChange(int change)
    {
        const std::size_t operators = 1 + pick(2);
        std::optional<Revision> expected;
        if (pick(3) == 0) {
            expected = m_net.revision(0);
            m_expected.insert(change);
        }
        for (std::size_t i = 0; i < operators; ++i) {
            const std::size_t node = pick(9);
            if (m_net.alive(node))
                m_net.propose(node, record(change), expected);
        }
    }

    void schedule(const TimedFault &fault)
    {
        const TimePoint begin = m_net.now() + Duration{std::chrono::milliseconds{pick(15'000)}};
        const TimePoint end = begin + Duration{std::chrono::milliseconds{500 + pick(20'000)}};
        m_schedule.emplace(begin, fault.begin);
        m_schedule.emplace(end, fault.end);
    }

    void runFaultsUntil(TimePoint limit)
    {
        while (!m_schedule.empty() && m_schedule.begin()->first <= limit) {
            const auto next = m_schedule.extract(m_schedule.begin());
            if (next.key() > m_net.now())
                m_net.run(next.key() - m_net.now());
            next.mapped()();
        }
        if (limit != TimePoint::max() && limit > m_net.now())
            m_net.run(limit - m_net.now());
    }

    [[nodiscard]] TimedFault randomFault()
    {
        const std::size_t node = pick(9);
        const std::string domain = Cluster::Domains[pick(3)];
        const std::string other = Cluster::Domains[pick(3)];
        const std::string at = " " + std::to_string(node);
        const auto nothing = [] {};
        switch (pick(8)) {
        case 0:
            return {"kill" + at, [=, this] { m_net.kill(node); }, [=, this] { m_net.start(node); }};
        case 1:
            return {"freeze" + at, [=, this] { m_net.freeze(node); },
                    [=, this] { m_net.thaw(node); }};
        case 2:
            return {"restart" + at, [=, this] { m_net.restart(node); }, nothing};
        case 3:
            return {"cut from platform " + domain, [=, this] { m_net.cutPlatform(domain); },
                    [this] { m_net.healAll(); }};
        case 4:
            return {"cut " + domain + ' ' + other, [=, this] { m_net.cutDomains(domain, other); },
                    [this] { m_net.healAll(); }};
        case 5:
            return {"loss", [this] { m_net.lossPercent = 40; }, [this] { m_net.lossPercent = 0; }};
        default: {
            const auto kind = static_cast<CallKind>(pick(CallKindCount));
            const auto how = static_cast<PlatformFault>(1 + pick(7));
            const std::string name = "platform fault " + std::to_string(static_cast<int>(how))
                                     + " at call " + std::to_string(static_cast<int>(kind));
            return {name, [=, this] { m_faults.emplace_back(kind, how); },
                    [this] { m_faults.clear(); }};
        }
        }
    }

    Random m_random;
    Cluster m_net;
    std::uint64_t m_seed;
    std::multimap<TimePoint, std::function<void()>> m_schedule;
    std::vector<std::pair<CallKind, PlatformFault>> m_faults;
    std::set<int> m_expected; ///< Changes proposed with an expected revision; may be refused.
};

} // namespace

// Two random faults overlap while operators propose changes concurrently at random daemons.
// Afterwards every change without an expected revision must be in force exactly once, on all
// daemons, and every reported outcome must be true.
Test(randomFaults, pairsFromSeeds)
{
    for (std::uint64_t seed = 1; seed <= 150; ++seed)
        Scenario{seed}.run();
}
