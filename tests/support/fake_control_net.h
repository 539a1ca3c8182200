#pragma once

#include "control_checks.h"
#include "core/control/control_node.h"
#include "core/random.h"
#include "fake_cuts.h"
#include "fake_platform.h"
#include "fake_platform_calls.h"
#include "support/virtual_time.h"

#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace baobabtrail::test {

/// \brief Several ControlNodes, the network between them and a fake platform, in virtual time.
///
/// Checks the invariants of ControlChecks at every step; violations() returns those that failed.
class FakeControlNet
{
public:
    using NodeIndex = std::size_t;

    explicit FakeControlNet(std::uint64_t seed, ControlSettings settings = {})
        : m_settings(std::move(settings))
        , m_random(seed)
    {
    }

    FakePlatform platform;
    /// Returns the platform's fault for a call of this node.
    std::function<PlatformFault(NodeIndex, const PlatformRequest &)> fault;
    /// Receives every action of every node before it is executed.
    std::function<void(NodeIndex, const ControlAction &)> observe;
    std::uint32_t lossPercent = 0; ///< Loss rate of datagrams.
    Duration retryAfter = 1s;      ///< Retry delay in the answer to a rate-limited call.
    /// Returns whether a datagram is lost, in addition to the random loss.
    std::function<bool(NodeIndex from, NodeIndex to, const PeerMessage &)> drop;
    /// Returns whether a fetch gets no answer.
    std::function<bool(NodeIndex querier, NodeIndex server)> dropFetch;
    std::array<std::uint64_t, CallKindCount> calls{};
    std::vector<Notice> notices;
    /// Receives every answer of a peer to a fetch.
    std::function<void(NodeIndex server, NodeIndex querier, const RecordsMessage &)> observeAnswer;
    /// Wraps the handling of one event by a node; for measurements.
    std::function<void(NodeIndex, const std::function<void()> &)> around;

    NodeIndex add(const std::string &domain)
    {
        const NodeIndex index = m_nodes.size();
        m_nodes.emplace_back();
        Node &node = m_nodes.back();
        const auto number = static_cast<std::uint32_t>(index + 1);
        m_cuts.addNode(index, domain);
        node.identity = {DaemonId{number},
                         {},
                         domain,
                         Endpoint{0x0a000000 + number, 7000},
                         Endpoint{0x0a000000 + number, 7001}};
        m_byAddress[node.identity.address] = index;
        m_byRecords[node.identity.records] = index;
        if (m_domains.insert(domain).second)
            m_settings.seeds.push_back(node.identity.address);
        listVm(index);
        return index;
    }

    void start(NodeIndex index)
    {
        Node &node = m_nodes[index];
        node.identity.incarnation = Incarnation{++m_incarnations};
        node.life = m_incarnations;
        node.core = std::make_unique<ControlNode>(node.identity, m_settings, m_random());
        node.frozen = false;
        node.published = Revision{};
        node.timer.reset();
        node.disturbedAt = now();
        ControlActions actions;
        node.core->start(now(), actions);
        carryOut(index, actions);
    }
    void startAll()
    {
        for (NodeIndex index = 0; index < m_nodes.size(); ++index)
            start(index);
    }

    void kill(NodeIndex index)
    {
        m_nodes[index].core.reset();
        m_nodes[index].life = 0;
        m_nodes[index].held.clear();
    }
    void freeze(NodeIndex index) { m_nodes[index].frozen = true; }
    void thaw(NodeIndex index)
    {
        Node &node = m_nodes[index];
        node.frozen = false;
        node.disturbedAt = now();
        for (auto &held : std::exchange(node.held, {}))
            at(now(), std::move(held));
    }
    void restart(NodeIndex index)
    {
        kill(index);
        start(index);
    }
    /// \brief Adds a daemon to the seeds of daemons that start from now on.
    void addSeed(NodeIndex index) { m_settings.seeds.push_back(m_nodes[index].identity.address); }
    /// \brief Daemons that start from now on have no seeds.
    void forgetSeeds() { m_settings.seeds.clear(); }
    /// \brief Removes a VM from the VM list at once, without the platform's lag.
    void unlist(NodeIndex index)
    {
        std::erase_if(platform.vms, [&](const VmEntry &vm) {
            return vm.daemon == m_nodes[index].identity.daemon;
        });
    }
    void listVm(NodeIndex index)
    {
        const NodeIdentity &identity = m_nodes[index].identity;
        platform.vms.push_back(
            {identity.daemon, identity.domain, identity.address, identity.records, false});
    }

    void cutDomains(const std::string &a, const std::string &b) { m_cuts.cutDomains(a, b, now()); }
    void cutPlatform(const std::string &domain) { m_cuts.cutPlatform(domain, now()); }
    void cutNode(NodeIndex index) { m_cuts.cutNode(index, now()); }
    void healAll() { m_cuts.healAll(now()); }

    ProposalId propose(NodeIndex index, ChangeRecord draft,
                       std::optional<Revision> expected = std::nullopt, bool dryRun = false)
    {
        const ProposalId id{++m_proposals};
        m_checks.proposed(id, draft.changeId);
        deliver(index, Propose{id, std::move(draft), expected, dryRun});
        return id;
    }
    [[nodiscard]] const ProposalOutcome *outcome(ProposalId id) const
    {
        return m_checks.outcome(id);
    }

    void handle(NodeIndex index, ControlEvent event) { deliver(index, std::move(event)); }

    void run(Duration time) { m_time.run(time); }
    /// \return Whether \a condition became true within \a limit.
    template <typename Condition>
    bool runUntil(Condition condition, Duration limit)
    {
        return m_time.runUntil(std::move(condition), limit);
    }

    [[nodiscard]] std::size_t size() const { return m_nodes.size(); }
    [[nodiscard]] TimePoint now() const { return m_time.now(); }
    [[nodiscard]] bool alive(NodeIndex index) const { return m_nodes[index].core != nullptr; }
    [[nodiscard]] ControlNode &node(NodeIndex index) { return *m_nodes[index].core; }
    [[nodiscard]] const NodeIdentity &identity(NodeIndex index) const
    {
        return m_nodes[index].identity;
    }
    [[nodiscard]] Revision revision(NodeIndex index) const { return m_nodes[index].published; }
    /// \return Whether every running daemon has at least this revision in force.
    [[nodiscard]] bool everywhere(Revision revision) const
    {
        return std::all_of(m_nodes.begin(), m_nodes.end(), [&](const Node &node) {
            return !node.core || node.frozen || node.published >= revision;
        });
    }
    [[nodiscard]] std::uint64_t totalCalls() const
    {
        std::uint64_t total = 0;
        for (const std::uint64_t count : calls)
            total += count;
        return total;
    }

    /// \brief Checks all invariants.
    /// \return Those that failed.
    [[nodiscard]] std::vector<std::string> violations() const
    {
        return m_checks.violations(platform);
    }

private:
    static constexpr Duration FetchTimeout = 2s;
    static constexpr Duration InForceWithin = 10s;

    struct Node
    {
        NodeIdentity identity;
        std::unique_ptr<ControlNode> core;
        std::uint64_t life = 0; ///< Number of the start; events of earlier ones are dropped.
        bool frozen = false;
        std::vector<std::function<void()>> held;
        Revision published;
        TimePoint disturbedAt{}; ///< Last start or resumption.
        std::optional<TimePoint> timer;
    };
    /// \return Whether a change can reach a daemon: from the platform or from a daemon that reaches
    /// the platform.
    [[nodiscard]] bool canHear(NodeIndex index) const
    {
        if (m_cuts.reachesPlatform(index))
            return true;
        for (NodeIndex peer = 0; peer < m_nodes.size(); ++peer) {
            const Node &node = m_nodes[peer];
            const bool speaks = peer != index && node.core && !node.frozen;
            if (speaks && m_cuts.reachesPlatform(peer) && m_cuts.connected(index, peer))
                return true;
        }
        return false;
    }
    /// An accepted change must be in force on every daemon that it could reach during the last ten
    /// seconds.
    void checkInForce(Revision revision)
    {
        if (now() - m_cuts.changedAt() < InForceWithin)
            return;
        for (NodeIndex index = 0; index < m_nodes.size(); ++index) {
            const Node &node = m_nodes[index];
            if (!node.core || node.frozen || now() - node.disturbedAt < InForceWithin)
                continue;
            if (node.published < revision && canHear(index))
                m_checks.add("daemon " + std::to_string(index + 1) + " lacks revision "
                             + std::to_string(revision.value())
                             + " ten seconds after its acceptance");
        }
    }

    void at(TimePoint time, std::function<void()> run) { m_time.at(time, std::move(run)); }
    [[nodiscard]] Duration between(Duration low, Duration high)
    {
        return Duration{boost::random::uniform_int_distribution<Duration::rep>{
            low.count(), high.count()}(m_random)};
    }
    void deliver(NodeIndex index, ControlEvent event)
    {
        Node &node = m_nodes[index];
        if (!node.core)
            return;
        if (node.frozen) {
            node.held.push_back(
                [this, index, life = node.life, event = std::move(event)]() mutable {
                    if (m_nodes[index].life == life)
                        deliver(index, std::move(event));
                });
            return;
        }
        ControlActions actions;
        const auto handleEvent
            = [&] { node.core->handle(std::move(event), now(), unixNow(), actions); };
        if (around)
            around(index, handleEvent);
        else
            handleEvent();
        carryOut(index, actions);
    }
    void deliverLater(NodeIndex index, Duration wait, ControlEvent event)
    {
        const std::uint64_t life = m_nodes[index].life;
        at(now() + wait, [this, index, life, event = std::move(event)]() mutable {
            if (m_nodes[index].life == life)
                deliver(index, std::move(event));
        });
    }
    [[nodiscard]] std::chrono::sys_seconds unixNow() const
    {
        return std::chrono::sys_seconds{
            std::chrono::seconds{1'800'000'000}
            + std::chrono::duration_cast<std::chrono::seconds>(now().time_since_epoch())};
    }

    void carryOut(NodeIndex index, ControlActions &actions)
    {
        // A test may kill the node while its actions are executed: the rest is dropped.
        const std::uint64_t life = m_nodes[index].life;
        for (ControlAction &action : actions) {
            if (observe)
                observe(index, action);
            if (m_nodes[index].life == life)
                std::visit([&](auto &typed) { on(index, typed); }, action);
        }
        if (m_nodes[index].life == life)
            armTimer(index);
    }
    void armTimer(NodeIndex index)
    {
        Node &node = m_nodes[index];
        const auto next = node.core->nextTimer();
        if (!next || (node.timer && *node.timer <= *next && *node.timer > now()))
            return;
        const TimePoint due = std::max(*next, now());
        node.timer = due;
        at(due, [this, index, life = node.life, due] {
            Node &woken = m_nodes[index];
            if (woken.life != life || woken.timer != due)
                return;
            woken.timer.reset();
            deliver(index, ControlTimerExpired{});
        });
    }

    void on(NodeIndex index, ControlSendToPeer &action)
    {
        const auto peer = m_byAddress.find(action.peer);
        if (peer == m_byAddress.end() || !m_cuts.connected(index, peer->second))
            return;
        if (drop && drop(index, peer->second, action.message))
            return;
        if (lossPercent > 0 && between(1us, 100us).count() <= lossPercent)
            return;
        const NodeIdentity &from = m_nodes[index].identity;
        deliverLater(peer->second, between(300us, 900us),
                     ControlFromPeer{from.address,
                                     {from.daemon, from.incarnation, std::move(action.message)}});
    }
    void on(NodeIndex index, FetchFromPeer &action)
    {
        const auto peer = m_byRecords.find(action.records);
        const bool known = peer != m_byRecords.end() && m_nodes[peer->second].core;
        const bool reachable = known && !m_nodes[peer->second].frozen
                               && m_cuts.connected(index, peer->second)
                               && !(dropFetch && dropFetch(index, peer->second));
        if (!reachable)
            return deliverLater(index, FetchTimeout, FetchResult{action.records, std::nullopt});
        RecordsMessage answer = m_nodes[peer->second].core->serve(action.message, now());
        if (observeAnswer)
            observeAnswer(peer->second, index, answer);
        deliverLater(index, between(1ms, 3ms), FetchResult{action.records, std::move(answer)});
    }
    void on(NodeIndex index, PublishConfig &action)
    {
        Node &node = m_nodes[index];
        m_checks.published("daemon " + std::to_string(index + 1), node.published, action.config);
        node.published = action.config->revision;
    }
    void on(NodeIndex, PublishView &) {}
    void on(NodeIndex, ProposalDone &action)
    {
        if (const auto *accepted = std::get_if<ProposalAccepted>(&action.outcome))
            at(now() + InForceWithin,
               [this, revision = accepted->revision] { checkInForce(revision); });
        m_checks.done(action.proposal, std::move(action.outcome), platform);
    }
    void on(NodeIndex, Notice &action) { notices.push_back(std::move(action)); }

    void on(NodeIndex index, PlatformCall &action)
    {
        ++calls.at(static_cast<std::size_t>(kindOf(action.request)));
        PlatformFault how = fault ? fault(index, action.request) : PlatformFault::None;
        if (!m_cuts.reachesPlatform(index))
            how = PlatformFault::Down;
        const std::uint64_t life = m_nodes[index].life;
        const auto reply = [this, index, life, call = action.call](PlatformResult result) {
            if (m_nodes[index].life == life)
                deliver(index, PlatformReply{call, std::move(result)});
        };
        m_platformCalls.retryAfter = retryAfter;
        m_platformCalls.call(action.request, how, between(1ms, 4ms), reply,
                             [this, index] { return m_cuts.reachesPlatform(index); });
    }

    ControlSettings m_settings;
    Random m_random;
    VirtualTime m_time{TimePoint{1s}};
    FakeCuts m_cuts;
    FakePlatformCalls m_platformCalls{platform, m_time};
    std::uint64_t m_incarnations = 0;
    std::uint64_t m_proposals = 0;
    std::vector<Node> m_nodes;
    std::map<Endpoint, NodeIndex> m_byAddress;
    std::map<Endpoint, NodeIndex> m_byRecords;
    std::set<std::string> m_domains;
    ControlChecks m_checks;
};

} // namespace baobabtrail::test
