#pragma once

#include "support/direct_cluster.h"
#include "support/load_pattern.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace baobabtrail::test {

/// \brief The daemons of a LoadReplay, with two routes to one service, and the usage that they tell
/// each other.
class LoadDaemons
{
public:
    static constexpr Endpoint Plain{0xC6120001, 443};
    static constexpr Endpoint Urgent{0xC6120001, 8443};

    /// \param decided Called for each decision, with the daemon's index.
    /// \param applied Called with each verdict on a segment that had to wait.
    LoadDaemons(const LoadPattern &pattern, std::uint64_t seed,
                std::function<void(std::size_t, const SegmentDecision &)> decided,
                std::function<void(const Segment &, const SegmentVerdict &)> applied)
        : m_pattern(pattern)
        , m_decided(std::move(decided))
        , m_applied(std::move(applied))
        , m_cluster(
              pattern.daemons, pattern.daemons, seed,
              [this](std::size_t index, DirectCallbacks &callbacks) {
                  setCallbacks(index, callbacks);
              },
              settingsOf(pattern))
    {
        for (std::size_t id = 1; id <= pattern.targets; ++id)
            m_cluster.store.put(DirectCluster::targetKey(id), "x ready");
        m_cluster.time.run(2s);
        if (pattern.exchangesUsage)
            exchangeUsage();
    }

    [[nodiscard]] DirectCluster &cluster() noexcept { return m_cluster; }
    [[nodiscard]] DirectNode &node(std::size_t index) { return *m_cluster.node(index); }
    [[nodiscard]] std::size_t size() const noexcept { return m_cluster.size(); }
    [[nodiscard]] static std::size_t domainOf(std::size_t daemon) noexcept
    {
        return daemon % LoadDomains;
    }
    /// \param target Index of a target, which is one less than its id.
    [[nodiscard]] static std::size_t domainOfTarget(std::size_t target) noexcept
    {
        return (target + 1) % LoadDomains;
    }

    /// \brief Cuts a failure domain off from the others, or connects it again. Its daemons and
    /// targets still reach each other.
    void cut(std::size_t domain, bool isCut = true)
    {
        if (isCut)
            m_cut.insert(domain);
        else
            m_cut.erase(domain);
    }
    /// \return Whether packets from a daemon reach a target.
    [[nodiscard]] bool reaches(std::size_t daemon, std::size_t target) const
    {
        const std::size_t from = domainOf(daemon);
        const std::size_t to = domainOfTarget(target);
        return from == to || (!m_cut.contains(from) && !m_cut.contains(to));
    }
    /// \brief Ends the exchange of usage, so that it is unknown, or resumes it.
    void loseUsage(bool isLost = true)
    {
        m_usageLost = isLost;
        for (std::size_t index = 0; isLost && index < size(); ++index)
            node(index).applyUsage(nullptr);
    }

private:
    static constexpr Duration UsageInterval = 250ms;

    [[nodiscard]] static DirectNodeSettings settingsOf(const LoadPattern &pattern)
    {
        DirectNodeSettings settings;
        settings.flows = pattern.flows;
        settings.flows.overload.hold = pattern.heldBack;
        return settings;
    }

    void setCallbacks(std::size_t index, DirectCallbacks &callbacks)
    {
        callbacks.reader.routes
            = [this](const StoredObject &object) -> std::variant<RouteTable, DirectoryFinding> {
            RouteTable table;
            table.version = std::stoull(object.value);
            const ServiceId service = serviceId("x", "x");
            table.serviceNames[service] = "x";
            for (const Endpoint &address : {Plain, Urgent}) {
                RequestPolicy promise;
                promise.priority = address == Urgent ? 1 : 2;
                promise.latency = m_pattern.latency;
                promise.timeout = m_pattern.timeout;
                table.routes[address] = Route{"r", address, {{service, 1}}, promise};
            }
            return table;
        };
        callbacks.reader.target
            = [this, read = callbacks.reader.target](
                  const StoredObject &object) -> std::variant<RegisteredTarget, DirectoryFinding> {
            auto result = read(object);
            RegisteredTarget &target = std::get<RegisteredTarget>(result);
            target.slots = m_pattern.slots;
            target.domain = "d" + std::to_string(target.id.value() % LoadDomains);
            return result;
        };
        callbacks.observer.decided
            = [this, index](const SegmentDecision &decision) { m_decided(index, decision); };
        callbacks.applyVerdict
            = [this](const Segment &segment, const std::string &, const SegmentVerdict &verdict) {
                  m_applied(segment, verdict);
              };
    }

    // Daemons of a domain that is cut off learn the usage of their own domain alone.
    void exchangeUsage()
    {
        std::map<std::size_t, UsageView> views;
        for (std::size_t index = 0; index < size(); ++index) {
            UsageView &view = views[groupOf(index)];
            ++view.daemons;
            view.measuredAt = m_cluster.time.now();
            for (const auto &[key, usage] : node(index).takeUsage())
                view.usage[key] += usage;
        }
        m_cluster.time.after(UsageInterval, [this, views = std::move(views)] {
            for (std::size_t index = 0; !m_usageLost && index < size(); ++index) {
                if (const auto view = views.find(groupOf(index)); view != views.end())
                    node(index).applyUsage(&view->second);
            }
            exchangeUsage();
        });
    }
    [[nodiscard]] std::size_t groupOf(std::size_t daemon) const
    {
        return m_cut.contains(domainOf(daemon)) ? domainOf(daemon) : LoadDomains;
    }

    LoadPattern m_pattern;
    std::function<void(std::size_t, const SegmentDecision &)> m_decided;
    std::function<void(const Segment &, const SegmentVerdict &)> m_applied;
    std::set<std::size_t> m_cut;
    bool m_usageLost = false;
    DirectCluster m_cluster;
};

} // namespace baobabtrail::test
