#pragma once

#include "core/config/log_keys.h"
#include "core/config/record_codec.h"
#include "core/control/control_node.h"
#include "core/random.h"
#include "support/fake_platform.h"

#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace baobabtrail::test {

/// \brief Several ControlNodes, the network between them and the platform, in virtual time.
///
/// Checks at every step what must always hold, and collects what did not in violations().
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
    /// Fault of the platform as a call of this kind from this node meets it.
    std::function<PlatformFault(NodeIndex, const PlatformRequest &)> fault;
    /// Sees every action of every node before it is carried out.
    std::function<void(NodeIndex, const ControlAction &)> observe;
    std::uint32_t lossPercent = 0; ///< Of datagrams.
    /// Whether a datagram from this node is lost, beside the loss at random.
    std::function<bool(NodeIndex, const PeerMessage &)> drop;
    /// Whether a fetch by this node gets no answer.
    std::function<bool(NodeIndex)> dropFetch;
    std::array<std::uint64_t, CallKindCount> calls{};
    std::vector<Notice> notices;

    NodeIndex add(const std::string &domain)
    {
        const NodeIndex index = m_nodes.size();
        m_nodes.emplace_back();
        Node &node = m_nodes.back();
        const auto number = static_cast<std::uint32_t>(index + 1);
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
        node.disturbedAt = m_now;
        ControlActions actions;
        node.core->start(m_now, actions);
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
        node.disturbedAt = m_now;
        for (auto &held : std::exchange(node.held, {}))
            at(m_now, std::move(held));
    }
    void restart(NodeIndex index)
    {
        kill(index);
        start(index);
    }
    /// \brief Removes a VM from the list at once, without the lag.
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

    void cutDomains(const std::string &a, const std::string &b) { cut({a, b}); }
    void cutPlatform(const std::string &domain) { cut({domain, PlatformName}); }
    void cutNode(NodeIndex index)
    {
        m_cutNodes.insert(index);
        m_cutsChangedAt = m_now;
    }
    void healAll()
    {
        m_cutsChangedAt = m_now;
        m_cuts.clear();
        m_cutNodes.clear();
    }

    ProposalId propose(NodeIndex index, ChangeRecord draft,
                       std::optional<Revision> expected = std::nullopt, bool dryRun = false)
    {
        const ProposalId id{++m_proposals};
        m_changeIds[id] = draft.changeId;
        deliver(index, Propose{id, std::move(draft), expected, dryRun});
        return id;
    }
    [[nodiscard]] const ProposalOutcome *outcome(ProposalId id) const
    {
        const auto found = m_outcomes.find(id);
        return found == m_outcomes.end() ? nullptr : &found->second;
    }

    void handle(NodeIndex index, ControlEvent event) { deliver(index, std::move(event)); }

    void run(Duration time)
    {
        const TimePoint end = m_now + time;
        while (!m_events.empty() && m_events.top().time <= end)
            step();
        m_now = end;
    }
    /// \return Whether \a condition came true within \a limit.
    template <typename Condition>
    bool runUntil(Condition condition, Duration limit)
    {
        const TimePoint end = m_now + limit;
        while (!condition()) {
            if (m_events.empty() || m_events.top().time > end) {
                m_now = end;
                return condition();
            }
            step();
        }
        return true;
    }

    [[nodiscard]] std::size_t size() const { return m_nodes.size(); }
    [[nodiscard]] TimePoint now() const { return m_now; }
    [[nodiscard]] bool alive(NodeIndex index) const { return m_nodes[index].core != nullptr; }
    [[nodiscard]] ControlNode &node(NodeIndex index) { return *m_nodes[index].core; }
    [[nodiscard]] const NodeIdentity &identity(NodeIndex index) const
    {
        return m_nodes[index].identity;
    }
    [[nodiscard]] Revision revision(NodeIndex index) const { return m_nodes[index].published; }
    /// \return Whether every daemon that runs has at least this revision in force.
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

    /// \brief Checks the log and every outcome against each other; all that must hold at any time.
    [[nodiscard]] std::vector<std::string> violations() const
    {
        std::vector<std::string> found = m_violations;
        std::map<std::string, Revision> changes;
        std::uint64_t last = 0;
        for (const std::string &key : platform.recreated)
            found.push_back(key + " was created again");
        for (const auto &[key, value] : platform.created) {
            const auto revision = parseLogKey(key);
            const auto decoded = decodeRecord(value, key);
            const auto *record = std::get_if<ChangeRecord>(&decoded);
            if (!revision || !record)
                continue;
            if (last != 0 && revision->value() != last + 1)
                found.push_back("the log has a hole before " + key);
            last = revision->value();
            if (!changes.emplace(record->changeId, *revision).second)
                found.push_back("change " + record->changeId + " is in the log twice");
        }
        for (const auto &[id, result] : m_outcomes) {
            const std::string &change = m_changeIds.at(id);
            const auto entry = changes.find(change);
            const auto *accepted = std::get_if<ProposalAccepted>(&result);
            if (accepted && (entry == changes.end() || entry->second != accepted->revision))
                found.push_back("change " + change + " was accepted and is not in the log");
            // Asked again later it may have been accepted; then that was said to someone.
            const bool refused = std::holds_alternative<ProposalRefused>(result);
            if (refused && entry != changes.end() && !wasAccepted(change))
                found.push_back("change " + change + " was refused and is in the log");
        }
        return found;
    }

private:
    static constexpr const char *PlatformName = "the platform";
    static constexpr Duration CallTimeout = 3s;
    static constexpr Duration FetchTimeout = 2s;
    static constexpr Duration InForceWithin = 10s;

    struct Node
    {
        NodeIdentity identity;
        std::unique_ptr<ControlNode> core;
        std::uint64_t life = 0; ///< Events of an earlier life are dropped.
        bool frozen = false;
        std::vector<std::function<void()>> held;
        Revision published;
        TimePoint disturbedAt{}; ///< Last start or end of a pause.
        std::optional<TimePoint> timer;
    };
    struct Event
    {
        TimePoint time;
        std::uint64_t order;
        std::function<void()> run;

        friend bool operator<(const Event &a, const Event &b)
        {
            return std::pair{a.time, a.order} > std::pair{b.time, b.order};
        }
    };
    struct Waiting
    {
        NodeIndex node;
        std::uint64_t life;
        CallId call;
        WatchObjects watch;
        PlatformFault fault;
        TimePoint until;
    };

    void cut(std::pair<std::string, std::string> ends)
    {
        m_cuts.insert(std::move(ends));
        m_cutsChangedAt = m_now;
    }

    /// \return Whether a change can get to a daemon: from the platform or from one that has it.
    [[nodiscard]] bool canHear(NodeIndex index) const
    {
        if (reachesPlatform(index))
            return true;
        for (NodeIndex peer = 0; peer < m_nodes.size(); ++peer) {
            const Node &node = m_nodes[peer];
            const bool speaks = peer != index && node.core && !node.frozen;
            if (speaks && reachesPlatform(peer) && connected(index, peer))
                return true;
        }
        return false;
    }
    [[nodiscard]] bool wasAccepted(const std::string &change) const
    {
        return std::any_of(m_outcomes.begin(), m_outcomes.end(), [&](const auto &item) {
            return std::holds_alternative<ProposalAccepted>(item.second)
                   && m_changeIds.at(item.first) == change;
        });
    }
    [[nodiscard]] bool isInLog(const std::string &change) const
    {
        return std::any_of(platform.created.begin(), platform.created.end(), [&](const auto &item) {
            const auto decoded = decodeRecord(item.second, item.first);
            const auto *record = std::get_if<ChangeRecord>(&decoded);
            return parseLogKey(item.first) && record && record->changeId == change;
        });
    }
    /// Accepted means in force on every daemon that could hear of it in the last ten seconds.
    void checkInForce(Revision revision)
    {
        if (m_now - m_cutsChangedAt < InForceWithin)
            return;
        for (NodeIndex index = 0; index < m_nodes.size(); ++index) {
            const Node &node = m_nodes[index];
            if (!node.core || node.frozen || m_now - node.disturbedAt < InForceWithin)
                continue;
            if (node.published < revision && canHear(index))
                m_violations.push_back("daemon " + std::to_string(index + 1) + " lacks revision "
                                       + std::to_string(revision.value())
                                       + " ten seconds after its acceptance");
        }
    }

    void at(TimePoint time, std::function<void()> run)
    {
        m_events.push({time, ++m_order, std::move(run)});
    }
    void step()
    {
        Event event = m_events.top();
        m_events.pop();
        m_now = std::max(m_now, event.time);
        event.run();
    }
    [[nodiscard]] Duration between(Duration low, Duration high)
    {
        return Duration{boost::random::uniform_int_distribution<Duration::rep>{
            low.count(), high.count()}(m_random)};
    }
    [[nodiscard]] bool connected(NodeIndex a, NodeIndex b) const
    {
        const std::string &from = m_nodes[a].identity.domain;
        const std::string &to = m_nodes[b].identity.domain;
        if (m_cutNodes.contains(a) || m_cutNodes.contains(b))
            return false;
        return !m_cuts.contains({from, to}) && !m_cuts.contains({to, from});
    }
    [[nodiscard]] bool reachesPlatform(NodeIndex index) const
    {
        return !m_cutNodes.contains(index)
               && !m_cuts.contains({m_nodes[index].identity.domain, PlatformName});
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
        node.core->handle(std::move(event), m_now, unixNow(), actions);
        carryOut(index, actions);
    }
    void deliverLater(NodeIndex index, Duration wait, ControlEvent event)
    {
        const std::uint64_t life = m_nodes[index].life;
        at(m_now + wait, [this, index, life, event = std::move(event)]() mutable {
            if (m_nodes[index].life == life)
                deliver(index, std::move(event));
        });
    }
    [[nodiscard]] std::chrono::sys_seconds unixNow() const
    {
        return std::chrono::sys_seconds{
            std::chrono::seconds{1'800'000'000}
            + std::chrono::duration_cast<std::chrono::seconds>(m_now.time_since_epoch())};
    }

    void carryOut(NodeIndex index, ControlActions &actions)
    {
        // A test may kill the node in the middle of its actions: the rest is not carried out.
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
        if (!next || (node.timer && *node.timer <= *next && *node.timer > m_now))
            return;
        const TimePoint due = std::max(*next, m_now);
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
        if (peer == m_byAddress.end() || !connected(index, peer->second))
            return;
        if (drop && drop(index, action.message))
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
        const bool dropped = dropFetch && dropFetch(index);
        const bool reachable = !dropped && peer != m_byRecords.end()
                               && connected(index, peer->second) && m_nodes[peer->second].core
                               && !m_nodes[peer->second].frozen;
        if (!reachable)
            return deliverLater(index, FetchTimeout, FetchResult{action.records, std::nullopt});
        RecordsMessage answer = m_nodes[peer->second].core->serve(action.message, m_now);
        deliverLater(index, between(1ms, 3ms), FetchResult{action.records, std::move(answer)});
    }
    void on(NodeIndex index, PublishConfig &action)
    {
        Node &node = m_nodes[index];
        const Revision revision = action.config->revision;
        const std::string who = "daemon " + std::to_string(index + 1);
        if (revision < node.published || (revision == node.published && !revision.isNull()))
            m_violations.push_back(who + " went from revision "
                                   + std::to_string(node.published.value()) + " to "
                                   + std::to_string(revision.value()));
        node.published = revision;
        const auto [known, first] = m_configs.emplace(revision, action.config);
        if (!first && !(*known->second == *action.config))
            m_violations.push_back(who + " has another configuration at revision "
                                   + std::to_string(revision.value()));
    }
    void on(NodeIndex, PublishView &) {}
    void on(NodeIndex, ProposalDone &action)
    {
        if (const auto *accepted = std::get_if<ProposalAccepted>(&action.outcome))
            at(m_now + InForceWithin,
               [this, revision = accepted->revision] { checkInForce(revision); });
        const std::string &change = m_changeIds.at(action.proposal);
        if (std::holds_alternative<ProposalRefused>(action.outcome) && isInLog(change))
            m_violations.push_back("change " + change + " was in the log when it was refused");
        if (!m_outcomes.emplace(action.proposal, std::move(action.outcome)).second)
            m_violations.push_back("a proposal got two outcomes");
    }
    void on(NodeIndex, Notice &action) { notices.push_back(std::move(action)); }

    void on(NodeIndex index, PlatformCall &action)
    {
        ++calls.at(static_cast<std::size_t>(kindOf(action.request)));
        PlatformFault how = fault ? fault(index, action.request) : PlatformFault::None;
        if (!reachesPlatform(index))
            how = PlatformFault::Down;
        const std::uint64_t life = m_nodes[index].life;
        const auto reply = [=, this, call = action.call](Duration wait, PlatformResult result) {
            if (m_nodes[index].life == life)
                deliverLater(index, wait, PlatformReply{call, std::move(result)});
        };
        const auto perform = [this, request = action.request] { return platform.perform(request); };
        const auto afterWrite = [this] { at(m_now, [this] { answerWatches(); }); };

        switch (how) {
        case PlatformFault::Down:
            return reply(CallTimeout, PlatformFailure{"timed out", Duration{0}});
        case PlatformFault::RateLimited:
            return reply(2ms, PlatformFailure{"too many calls", 1s});
        case PlatformFault::ReplyLost:
            (void)perform();
            afterWrite();
            return reply(CallTimeout, PlatformFailure{"timed out", Duration{0}});
        case PlatformFault::WriteDelayed:
            at(m_now + CallTimeout + 2s, [=] {
                (void)perform();
                afterWrite();
            });
            return reply(CallTimeout, PlatformFailure{"timed out", Duration{0}});
        default:
            break;
        }
        if (const auto *watch = std::get_if<WatchObjects>(&action.request))
            return wait(index, action.call, *watch, how);
        const Duration way = how == PlatformFault::Slow ? 1200ms : between(1ms, 4ms);
        at(m_now + way, [=] {
            PlatformResult result = perform();
            afterWrite();
            reply(way, std::move(result));
        });
    }

    void wait(NodeIndex index, CallId call, const WatchObjects &watch, PlatformFault how)
    {
        const std::uint64_t id = ++m_order;
        m_waiting.emplace(
            id, Waiting{index, m_nodes[index].life, call, watch, how, m_now + watch.wait});
        at(m_now + 2ms, [this] { answerWatches(); });
        at(m_now + watch.wait, [this, id] {
            auto over = m_waiting.extract(id);
            if (!over)
                return;
            answer(over.mapped(), ObjectList{{}, over.mapped().watch.after});
        });
    }
    void answerWatches()
    {
        for (auto entry = m_waiting.begin(); entry != m_waiting.end();) {
            const Waiting waiting = entry->second;
            ObjectList list = platform.newerThan(waiting.watch);
            if (waiting.fault == PlatformFault::WatchSkips && !list.objects.empty())
                list.objects.erase(list.objects.begin());
            const bool silent = list.objects.empty() || waiting.fault == PlatformFault::WatchSilent
                                || !reachesPlatform(waiting.node);
            if (silent) {
                ++entry;
                continue;
            }
            entry = m_waiting.erase(entry);
            answer(waiting, std::move(list));
        }
    }
    void answer(const Waiting &waiting, ObjectList list)
    {
        if (m_nodes[waiting.node].life != waiting.life)
            return;
        PlatformResult result = std::move(list);
        if (!reachesPlatform(waiting.node))
            result = PlatformFailure{"timed out", Duration{0}};
        deliverLater(waiting.node, 2ms, PlatformReply{waiting.call, std::move(result)});
    }

    ControlSettings m_settings;
    Random m_random;
    TimePoint m_now{1s};
    std::uint64_t m_order = 0;
    std::uint64_t m_incarnations = 0;
    std::uint64_t m_proposals = 0;
    std::priority_queue<Event> m_events;
    std::vector<Node> m_nodes;
    std::map<Endpoint, NodeIndex> m_byAddress;
    std::map<Endpoint, NodeIndex> m_byRecords;
    std::set<std::pair<std::string, std::string>> m_cuts;
    std::set<NodeIndex> m_cutNodes;
    std::set<std::string> m_domains;
    TimePoint m_cutsChangedAt{};
    std::map<std::uint64_t, Waiting> m_waiting;
    std::map<ProposalId, std::string> m_changeIds;
    std::map<ProposalId, ProposalOutcome> m_outcomes;
    std::map<Revision, ConfigPtr> m_configs;
    std::vector<std::string> m_violations;
};

} // namespace baobabtrail::test
