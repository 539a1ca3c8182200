#pragma once

#include "core/random.h"
#include "direct/world.h"
#include "soak/soak_checks.h"
#include "soak/soak_logs.h"

#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>
#include <array>
#include <csignal>
#include <iostream>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace baobabtrail::soak {

using namespace std::chrono_literals;
using standins::TcpProxy;

/// \brief Size of a soak and of its largest faults.
struct SoakSize
{
    std::size_t daemons = 0;
    std::size_t targets = 0; ///< At the start.
    std::size_t callers = 0;
    int largeChanges = 0; ///< One in so many steps is a large change of the configuration.
    bool verbose = false; ///< Print each fault.
};

/// \brief Strikes a system with random faults, which may overlap, and ends them.
class SoakFaults
{
public:
    /// \param world,logs,checks Must outlive this object.
    SoakFaults(World &world, const SoakSize &size, std::uint64_t seed, SoakLogs &logs,
               SoakChecks &checks)
        : m_world(world)
        , m_size(size)
        , m_logs(logs)
        , m_checks(checks)
        , m_random(seed)
        , m_largeRandom(~seed)
        , m_plannedRandom(seed ^ 0x9E3779B97F4A7C15U)
        , m_returnRandom(~seed ^ 0x9E3779B97F4A7C15U)
        , m_stallRandom(seed ^ 0xC2B2AE3D27D4EB4FU)
    {
    }

    void addTargets()
    {
        for (std::size_t index = 0; index < m_size.targets; ++index)
            m_live.push_back(m_world.addTarget(index % 4 == 3 ? "catalogue" : "lending"));
    }

    /// \brief Begins or ends some faults, and sends some requests.
    /// \return Until the next step; most faults last longer.
    [[nodiscard]] std::chrono::milliseconds step()
    {
        fault();
        largeChange();
        plannedOrLapsed();
        stallShortly();
        sendSomeRequests();
        return std::chrono::milliseconds{draw(20, 700)};
    }

    /// \brief Opens a flow that sends its next request only seconds later: until then nobody would
    /// notice that it has lost its target.
    void openSlowFeed(Caller &caller)
    {
        const int pause = boost::random::uniform_int_distribution<int>{2500, 5000}(m_stallRandom);
        caller.feed(World::routeOf(0), "lending", std::chrono::milliseconds{pause});
    }

    /// \brief Ends all faults that are left.
    void end()
    {
        restoreStore();
        for (const std::uint64_t id : m_unregister)
            m_world.unregister(id);
        for (const std::size_t target : m_live)
            m_world.reregister(target);
        for (const std::size_t domain : {0U, 1U, 2U}) {
            if (m_world.evacuated(domain))
                m_world.restore(domain);
        }
        for (std::size_t index = 0; index < m_size.daemons; ++index) {
            m_world.storeOf(index).set(TcpProxy::Mode::Pass);
            m_world.peersOf(index).set(TcpProxy::Mode::Pass);
            m_world.signal(index, SIGCONT);
            if (!m_world.running(index))
                m_world.startDaemon(index);
        }
    }

private:
    static constexpr std::chrono::milliseconds BetweenStalls{200};

    int draw(int least, int most)
    {
        return boost::random::uniform_int_distribution<int>{least, most}(m_random);
    }
    std::size_t anyDaemon()
    {
        return static_cast<std::size_t>(draw(0, static_cast<int>(m_size.daemons) - 1));
    }

    void logFault(const std::string &what)
    {
        m_logs.fault(what);
        if (m_size.verbose)
            std::cerr << "fault: " << what << '\n';
    }

    void sendSomeRequests()
    {
        for (const auto &caller : m_world.callers()) {
            if (draw(0, 3) == 0)
                caller->ask(World::routeOf(1), "catalogue");
        }
    }

    void fault()
    {
        switch (draw(0, 12)) {
        case 0:
            return kill(anyDaemon());
        case 1:
            return stop(anyDaemon());
        case 2:
            return pause(anyDaemon());
        case 3:
        case 4:
            return disturbStoreOf(anyDaemon());
        case 5:
            return switchStore();
        case 6:
            logFault("store history compacted");
            return m_world.compact();
        case 7:
            return drainOne();
        case 8:
            return crashOne();
        case 9:
            if (storeUnavailable())
                return;
            logFault("target added");
            m_live.push_back(m_world.addTarget(draw(0, 2) == 0 ? "catalogue" : "lending"));
            return;
        case 10: {
            const int route = draw(2, 5);
            if (storeUnavailable())
                return;
            logFault("route " + std::to_string(route) + " changes");
            return m_world.setRoute(route, draw(0, 1) == 0);
        }
        case 11:
            return disturbPeersOf(anyDaemon());
        default:
            return restartMissing();
        }
    }

    /// \brief At random steps adds or removes hundreds of routes while one daemon's link has a low
    /// bandwidth. Uses a random generator of its own, so that the other faults of a seed stay the
    /// same.
    void largeChange()
    {
        using Draw = boost::random::uniform_int_distribution<int>;
        constexpr int firstQuietRoute = 100;
        constexpr std::uint64_t thinLink = 1'250'000;
        const bool due = Draw{1, m_size.largeChanges}(m_largeRandom) == 1;
        const int count = Draw{100, 3000}(m_largeRandom);
        const auto thin = static_cast<std::size_t>(
            Draw{0, static_cast<int>(m_size.daemons) - 1}(m_largeRandom));
        if (!due || storeUnavailable())
            return;
        m_grown = !m_grown;
        logFault(std::to_string(count) + (m_grown ? " routes more" : " routes less, or all"));
        m_world.setRoutes(firstQuietRoute, m_grown ? count : 3000, m_grown);
        m_world.peersOf(thin).setBytesPerSecond(thinLink);
        later(5s, [this, thin] { m_world.peersOf(thin).setBytesPerSecond(0); });
    }

    /// \brief At random steps evacuates or restores a failure domain, or lets a third of the
    /// registrations lapse, which return within two seconds. Uses a random generator of its own,
    /// for the same reason as largeChange().
    void plannedOrLapsed()
    {
        using Draw = boost::random::uniform_int_distribution<int>;
        const int drawn = Draw{0, 11}(m_plannedRandom);
        const auto domain = static_cast<std::size_t>(Draw{0, 2}(m_plannedRandom));
        if (storeUnavailable())
            return;
        if (drawn == 0)
            lapseSome();
        if (drawn > 2)
            return;
        if (m_world.evacuated(domain)) {
            logFault("domain " + std::to_string(domain) + " restored");
            m_world.restore(domain);
        } else if (drawn == 1) {
            logFault("domain " + std::to_string(domain) + " evacuated");
            m_world.evacuate(domain, 15s);
        }
    }

    void lapseSome()
    {
        using Draw = boost::random::uniform_int_distribution<int>;
        logFault("registrations lapse while the store answers no daemon");
        for (std::size_t index = 0; index < m_size.daemons; ++index)
            m_world.storeOf(index).set(TcpProxy::Mode::Silent);
        for (const std::size_t target : m_live) {
            if (Draw{0, 2}(m_plannedRandom) != 0)
                continue;
            m_world.lapse(target);
            later(std::chrono::milliseconds{3000 + Draw{0, 2000}(m_plannedRandom)},
                  [this, target] { reregister(target); });
        }
        later(3s, [this] {
            for (std::size_t index = 0; index < m_size.daemons; ++index)
                m_world.storeOf(index).set(TcpProxy::Mode::Pass);
        });
    }

    /// \brief Re-registers a live target; during a store outage, within two seconds of its end.
    void reregister(std::size_t target)
    {
        if (m_storeHealthy)
            m_world.reregister(target);
        else
            m_waitForStore.push_back(target);
    }

    void kill(std::size_t index)
    {
        logFault("kill " + std::to_string(index));
        m_world.signal(index, SIGKILL);
        m_dead.insert(index);
    }

    void stop(std::size_t index)
    {
        if (!m_world.running(index) || m_paused.contains(index))
            return;
        logFault("stop " + std::to_string(index));
        const int status = m_world.stopDaemon(index);
        m_checks.expect(status == 0, "daemon " + std::to_string(index) + " ended with status "
                                         + std::to_string(status) + " after SIGTERM");
        m_dead.insert(index);
    }

    void pause(std::size_t index)
    {
        logFault("pause " + std::to_string(index));
        m_world.signal(index, SIGSTOP);
        m_paused.insert(index);
        later(std::chrono::milliseconds{draw(200, 5000)}, [this, index] {
            m_world.signal(index, SIGCONT);
            m_paused.erase(index);
        });
    }

    /// \brief At random steps stalls one daemon up to four times in a row, too shortly to be
    /// noticed or for longer, while flows open. Uses a random generator of its own, for the same
    /// reason as largeChange().
    void stallShortly()
    {
        using Draw = boost::random::uniform_int_distribution<int>;
        const auto daemon = static_cast<std::size_t>(
            Draw{0, static_cast<int>(m_size.daemons) - 1}(m_stallRandom));
        const std::chrono::milliseconds length{Draw{200, 3000}(m_stallRandom)};
        // As timed faults have to, a row ends before recover() goes on.
        constexpr std::chrono::milliseconds longestRow{5000};
        const auto most = static_cast<int>(longestRow / (length + BetweenStalls));
        const int stalls = std::min(Draw{1, 4}(m_stallRandom), most);
        for (int flow = 0; flow < 4; ++flow)
            openSlowFeed(*m_world.callers()[static_cast<std::size_t>(
                Draw{0, static_cast<int>(m_size.callers) - 1}(m_stallRandom))]);
        if (Draw{0, 3}(m_stallRandom) == 0)
            stallInRow(daemon, stalls, length);
    }

    void stallInRow(std::size_t daemon, int stalls, std::chrono::milliseconds length)
    {
        if (stalls == 0 || !m_world.running(daemon) || !m_paused.insert(daemon).second)
            return;
        logFault("stall " + std::to_string(daemon) + " for " + std::to_string(length.count())
                 + " ms");
        m_world.signal(daemon, SIGSTOP);
        later(length, [this, daemon, stalls, length] {
            m_world.signal(daemon, SIGCONT);
            m_paused.erase(daemon);
            later(BetweenStalls,
                  [this, daemon, stalls, length] { stallInRow(daemon, stalls - 1, length); });
        });
    }

    /// \brief Disturbs the connections through a proxy for a random time.
    /// \param name The proxy's name in the fault log.
    void disturb(TcpProxy &proxy, const std::string &name)
    {
        using Mode = TcpProxy::Mode;
        constexpr std::array modes{Mode::Delayed, Mode::Refusing, Mode::Silent, Mode::Unanswered};
        const auto mode = modes[static_cast<std::size_t>(draw(0, 3))];
        logFault(name + " disturbed, proxy mode " + std::to_string(static_cast<int>(mode)));
        proxy.set(mode);
        later(std::chrono::milliseconds{draw(500, 6000)}, [&proxy] { proxy.set(Mode::Pass); });
    }

    void disturbStoreOf(std::size_t index)
    {
        disturb(m_world.storeOf(index), "store connections of " + std::to_string(index));
    }

    void disturbPeersOf(std::size_t index)
    {
        disturb(m_world.peersOf(index), "peer connections to " + std::to_string(index));
    }

    void switchStore()
    {
        constexpr std::array switches{R"({"down": true})", R"({"busy": true})",
                                      R"({"silent": true})", R"({"slow": 200})",
                                      R"({"silentWatch": true})"};
        const char *chosen = switches[static_cast<std::size_t>(draw(0, 4))];
        logFault(std::string{"store "} + chosen);
        m_world.setSwitches(chosen);
        // The operators and targets in this process write to the store directly, not through a
        // proxy, so they make no changes until it is healthy.
        m_storeUnavailableUntil = World::Clock::now() + 6s;
        m_storeHealthy = false;
        later(std::chrono::milliseconds{draw(300, 4000)}, [this] { restoreStore(); });
    }

    void restoreStore()
    {
        m_world.setSwitches(
            R"({"down": false, "busy": false, "silent": false, "slow": 0, "silentWatch": false})");
        m_storeHealthy = true;
        using Draw = boost::random::uniform_int_distribution<int>;
        for (const std::size_t target : std::exchange(m_waitForStore, {}))
            later(std::chrono::milliseconds{Draw{0, 2000}(m_returnRandom)},
                  [this, target] { reregister(target); });
    }

    /// \brief Removes a random target from the live ones.
    /// \return The target, or nothing if too few would be left.
    std::optional<std::size_t> anyTarget()
    {
        if (m_live.size() < m_size.targets / 2 + 1)
            return std::nullopt;
        const auto at = static_cast<std::size_t>(draw(0, static_cast<int>(m_live.size()) - 1));
        const std::size_t target = m_live[at];
        m_live.erase(m_live.begin() + static_cast<std::ptrdiff_t>(at));
        return target;
    }

    // The time limit for a drain can be required only while the store answers and the daemons are
    // healthy. A target that is drained during faults therefore gets a long limit that covers the
    // faults and the recovery from them.
    void drainOne()
    {
        if (storeUnavailable())
            return;
        if (const auto target = anyTarget()) {
            logFault("drain " + std::to_string(*target));
            m_world.drain(*target, 15s);
        }
    }

    void crashOne()
    {
        if (storeUnavailable())
            return;
        const auto target = anyTarget();
        if (!target)
            return;
        logFault("crash " + std::to_string(*target));
        const std::uint64_t id = m_world.targets()[*target]->id();
        const Endpoint address = m_world.crash(*target);
        if (draw(0, 1) == 0)
            m_live.push_back(m_world.addTarget("catalogue", address));
        later(std::chrono::milliseconds{draw(500, 4000)}, [this, id] {
            if (storeUnavailable())
                m_unregister.push_back(id);
            else
                m_world.unregister(id);
        });
    }

    [[nodiscard]] bool storeUnavailable() const
    {
        return World::Clock::now() < m_storeUnavailableUntil;
    }

    void restartMissing()
    {
        const std::set<std::size_t> dead = std::exchange(m_dead, {});
        for (const std::size_t index : dead) {
            if (!m_world.running(index))
                m_world.startDaemon(index);
        }
    }

    void later(std::chrono::milliseconds wait, std::function<void()> step)
    {
        auto timer = std::make_shared<boost::asio::steady_timer>(m_world.context(), wait);
        timer->async_wait([timer, step = std::move(step)](boost::system::error_code error) {
            if (!error)
                step();
        });
    }

    World &m_world;
    SoakSize m_size;
    SoakLogs &m_logs;
    SoakChecks &m_checks;
    Random m_random;
    Random m_largeRandom;
    Random m_plannedRandom;
    Random m_returnRandom;
    Random m_stallRandom;
    std::vector<std::size_t> m_live; ///< Targets that are neither draining nor crashed.
    std::set<std::size_t> m_dead;    ///< Daemons that ended and are to be restarted.
    std::set<std::size_t> m_paused;
    std::vector<std::uint64_t> m_unregister; ///< Crashed targets that are still in the store.
    World::Clock::time_point m_storeUnavailableUntil{};
    bool m_storeHealthy = true;
    std::vector<std::size_t> m_waitForStore; ///< Targets to re-register after the store outage.
    bool m_grown = false; ///< The configuration holds the many additional, unused routes.
};

} // namespace baobabtrail::soak
