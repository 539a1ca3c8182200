#pragma once

#include "core/usage/usage_exchange.h"
#include "support/generate.h"
#include "support/virtual_time.h"
#include "wire/usage_form.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace baobabtrail::test {

/// \brief Many daemons that exchange their usage over a network of datagrams, in virtual time.
///
/// The first ones are the roots; each daemon has up to four followers. All encode their reports.
class UsageFleet
{
public:
    static constexpr Duration Hop = 500us;
    static constexpr std::size_t Roots = 3;
    static constexpr std::size_t Followers = 4;

    UsageFleet(std::size_t domains, std::size_t daemonsPerDomain, std::uint64_t seed = 1)
        : m_random(seed)
        , m_domains(domains)
    {
        m_daemons.resize(domains * daemonsPerDomain);
        for (std::size_t index = 0; index < size(); ++index) {
            m_daemons[index].route = treeRoute(index);
            start(index);
        }
    }

    [[nodiscard]] std::size_t size() const noexcept { return m_daemons.size(); }
    [[nodiscard]] static Endpoint addressOf(std::size_t index)
    {
        return {0x0A010000U + static_cast<std::uint32_t>(index), 7720};
    }
    [[nodiscard]] static std::size_t sourceOf(std::size_t index)
    {
        return (index - Roots) / Followers;
    }
    [[nodiscard]] static ServiceId service(std::size_t index)
    {
        return ServiceId{0x1234'5678'9ABC'DEF0 + index};
    }
    [[nodiscard]] std::string domainOf(std::size_t index) const
    {
        return "tmtcs-" + std::to_string(index % m_domains);
    }

    void start(std::size_t index)
    {
        Daemon &daemon = m_daemons[index];
        daemon.life = std::make_shared<bool>(true);
        daemon.frozen = false;
        daemon.exchange = std::make_unique<UsageExchange>(settings, callbacks(index), m_random());
        daemon.exchange->setRoute(daemon.route);
        daemon.exchange->start();
    }
    void kill(std::size_t index)
    {
        m_daemons[index].life.reset();
        m_daemons[index].exchange.reset();
    }
    /// \brief Stalls a daemon; what comes meanwhile is handled when it resumes.
    /// \param noticed Whether it knows then that it stalled.
    void freeze(std::size_t index, Duration span, bool noticed = true)
    {
        m_daemons[index].frozen = true;
        time.after(span, [this, index, noticed] {
            Daemon &daemon = m_daemons[index];
            daemon.frozen = false;
            if (noticed)
                daemon.exchange->reset();
            for (const auto &event : std::exchange(daemon.missed, {}))
                event();
        });
    }
    void route(std::size_t index, UsageRoute route)
    {
        m_daemons[index].route = route;
        m_daemons[index].exchange->setRoute(std::move(route));
    }
    void follow(std::size_t index, std::size_t source)
    {
        UsageRoute changed = m_daemons[index].route;
        changed.isRoot = false;
        changed.source = addressOf(source);
        route(index, changed);
    }
    /// \brief Sets a daemon's own work at targets of its own domain, for each service.
    void load(std::size_t index, double inFlight, std::size_t services = 1)
    {
        UsageTable &usage = m_daemons[index].usage;
        usage.clear();
        for (std::size_t each = 0; each < services; ++each)
            usage[{service(each), domainOf(index), domainOf(index), 1}]
                = {inFlight, 0, 10 * inFlight, inFlight};
    }
    void loadAll(double inFlight, std::size_t services = 1)
    {
        for (std::size_t index = 0; index < size(); ++index)
            load(index, inFlight, services);
    }
    /// \brief Adds work at targets of all other domains.
    void spill(std::size_t index, double inFlight, std::size_t services)
    {
        for (std::size_t domain = 0; domain < m_domains; ++domain) {
            for (std::size_t each = 0; each < services; ++each)
                m_daemons[index].usage[{service(each), domainOf(index), domainOf(domain), 1}]
                    += {inFlight, 0, 10 * inFlight, inFlight};
        }
    }

    [[nodiscard]] UsageExchange &exchange(std::size_t index) { return *m_daemons[index].exchange; }
    [[nodiscard]] const UsageView *view(std::size_t index) const
    {
        const auto &exchange = m_daemons[index].exchange;
        return exchange ? exchange->view() : nullptr;
    }
    /// \return Requests in flight by the daemon's view; negative where it has none.
    [[nodiscard]] double seenBy(std::size_t index) const
    {
        const UsageView *known = view(index);
        if (!known)
            return -1;
        double sum = 0;
        for (const auto &[key, usage] : known->usage)
            sum += usage.inFlight();
        return sum;
    }
    /// \return Requests in flight of all daemons.
    [[nodiscard]] double inFlight() const
    {
        double sum = 0;
        for (const Daemon &daemon : m_daemons) {
            for (const auto &[key, usage] : daemon.usage)
                sum += daemon.exchange ? usage.inFlight() : 0;
        }
        return sum;
    }
    /// \return Whether the view of the daemon is within \a tolerance, a share, of all work.
    [[nodiscard]] bool seesAll(std::size_t index, double tolerance = 0.01) const
    {
        const double expected = inFlight();
        return std::abs(seenBy(index) - expected) <= tolerance * expected;
    }
    [[nodiscard]] bool allSeeAll(double tolerance = 0.01) const
    {
        for (std::size_t index = 0; index < size(); ++index) {
            if (m_daemons[index].exchange && !seesAll(index, tolerance))
                return false;
        }
        return true;
    }
    /// \return The largest total that any daemon knows.
    [[nodiscard]] double mostSeen() const
    {
        double most = -1;
        for (std::size_t index = 0; index < size(); ++index)
            most = std::max(most, seenBy(index));
        return most;
    }
    /// \return Time until \a condition holds, in steps of 10 ms; \a limit where it doesn't.
    template <typename Condition>
    [[nodiscard]] Duration timeUntil(Condition condition, Duration limit)
    {
        const TimePoint begin = time.now();
        while (!condition() && time.now() - begin < limit)
            time.run(10ms);
        return time.now() - begin;
    }
    [[nodiscard]] std::uint64_t bytesOf(std::size_t index) const { return m_daemons[index].bytes; }

    /// \brief Delivers a message to a daemon as if it came from the address.
    void inject(const Endpoint &from, std::size_t to, const UsageMessage &message)
    {
        deliver(from, to, wire::encodeUsage(message));
    }

    VirtualTime time;
    UsageExchangeSettings settings;
    double busyAt = 100; ///< Requests in flight at which a domain is busy.
    double loss = 0;     ///< Share of the datagrams that are lost.
    double repeat = 0;   ///< Share of the datagrams that come again after \a late.
    double delay = 0;    ///< Share of the datagrams that come only after \a late.
    Duration late = 700ms;
    std::function<bool(std::size_t from, std::size_t to)> cut; ///< May be empty.

private:
    struct Daemon
    {
        std::unique_ptr<UsageExchange> exchange;
        std::shared_ptr<bool> life;
        UsageRoute route;
        UsageTable usage;
        std::uint64_t bytes = 0; ///< Sent.
        bool frozen = false;
        std::vector<std::function<void()>> missed;
    };

    [[nodiscard]] static UsageRoute treeRoute(std::size_t index)
    {
        UsageRoute out;
        out.isRoot = index < Roots;
        for (std::size_t root = 0; root < Roots; ++root) {
            if (root != index)
                out.roots.push_back(addressOf(root));
        }
        if (!out.isRoot)
            out.source = addressOf(sourceOf(index));
        return out;
    }

    [[nodiscard]] bool chance(double share)
    {
        return share > 0 && draw(m_random, 0, 999'999) < share * 1'000'000;
    }

    void at(std::size_t index, Duration wait, std::function<void()> event)
    {
        time.after(wait, [this, index, event = std::move(event),
                          life = std::weak_ptr{m_daemons[index].life}] {
            if (life.expired())
                return;
            if (m_daemons[index].frozen)
                m_daemons[index].missed.push_back(event);
            else
                event();
        });
    }

    void deliver(const Endpoint &from, std::size_t to, const std::string &bytes)
    {
        if (!m_daemons[to].exchange)
            return;
        at(to, Hop, [this, from, to, bytes, receivedAt = time.now() + Hop] {
            if (const auto message = wire::decodeUsage(bytes))
                m_daemons[to].exchange->handle(from, *message, receivedAt);
        });
    }

    void send(std::size_t from, const Endpoint &peer, const UsageMessage &message)
    {
        const std::size_t to = peer.address - addressOf(0).address;
        const std::string bytes = wire::encodeUsage(message);
        m_daemons[from].bytes += bytes.size();
        if (to >= size() || chance(loss) || (cut && cut(from, to)))
            return;
        const auto arrive = [this, from, to, bytes] { deliver(addressOf(from), to, bytes); };
        if (chance(repeat))
            time.after(late, arrive);
        if (chance(delay))
            time.after(late, arrive);
        else
            arrive();
    }

    [[nodiscard]] UsageExchangeCallbacks callbacks(std::size_t index)
    {
        UsageExchangeCallbacks out;
        out.now = [this] { return time.now(); };
        out.after = [this, index](Duration wait, std::function<void()> call) {
            at(index, wait, std::move(call));
        };
        out.send = [this, index](const Endpoint &peer, const UsageMessage &message) {
            send(index, peer, message);
        };
        out.take = [this, index] { return m_daemons[index].usage; };
        out.isBusy = [this](const UsageTable &table) {
            std::map<std::string, double> work;
            for (const auto &[key, usage] : table)
                work[key.targets] += usage.inFlight();
            return std::any_of(work.begin(), work.end(),
                               [this](const auto &each) { return each.second >= busyAt; });
        };
        out.changed = [](const UsageView *) {};
        return out;
    }

    Random m_random;
    std::size_t m_domains;
    std::vector<Daemon> m_daemons;
};

} // namespace baobabtrail::test
