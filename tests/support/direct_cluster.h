#pragma once

#include "core/base64.h"
#include "core/direct/direct_node.h"
#include "store/client.h"
#include "support/fake_connections.h"
#include "support/fake_directory_store.h"
#include "wire/view_form.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace baobabtrail::test {

/// \brief Several DirectNodes with a fake store and a network between them, in virtual time.
///
/// A target's object in the store holds "SERVICE STATE" ("x ready", "x draining"); one without a
/// state can't be read. The object of the routes holds their version.
class DirectCluster
{
public:
    static constexpr Duration Hop = 500us;

    /// Changes the callbacks of a daemon before it starts.
    using CustomizeCallbacks = std::function<void(std::size_t index, DirectCallbacks &callbacks)>;

    /// \param roots Number of roots: the first daemons.
    DirectCluster(
        std::size_t size, std::size_t roots, std::uint64_t seed,
        CustomizeCallbacks customizeCallbacks = [](std::size_t, DirectCallbacks &) {},
        DirectNodeSettings settings = {})
        : store(time)
        , m_seed(seed)
        , m_customizeCallbacks(std::move(customizeCallbacks))
        , m_settings(settings)
    {
        store.put("routes/main", "1");
        for (std::size_t index = 0; index < roots; ++index)
            m_roots.push_back(addressOf(index));
        for (std::size_t index = 0; index < size; ++index)
            m_daemons.push_back(std::make_unique<Daemon>());
        for (std::size_t index = 0; index < size; ++index)
            start(index);
    }

    void start(std::size_t index)
    {
        Daemon &daemon = *m_daemons[index];
        daemon.life = std::make_shared<bool>(true);
        daemon.frozen = false;
        daemon.linkFreeAt = {};
        daemon.handlesAt = {};
        daemon.connections = FakeConnections{};
        const std::string domain = "d" + std::to_string(index % 3);
        daemon.node = std::make_unique<DirectNode>(PeerIdentity{addressOf(index), domain},
                                                   m_settings, callbacks(index), ++m_seed);
        daemon.node->start(m_roots);
    }

    void kill(std::size_t index)
    {
        m_daemons[index]->life.reset();
        m_daemons[index]->node.reset();
    }

    /// \brief Stalls the daemon's process. Events that arrive meanwhile are handled when it
    /// resumes.
    /// \param noticed Whether it knows then that it stalled.
    void freeze(std::size_t index, Duration span, bool noticed = true)
    {
        Daemon &daemon = *m_daemons[index];
        if (!daemon.node || daemon.frozen)
            return;
        daemon.frozen = true;
        time.after(span, [this, index, span, noticed, life = std::weak_ptr{daemon.life}] {
            if (life.expired())
                return;
            Daemon &woken = *m_daemons[index];
            woken.frozen = false;
            if (noticed)
                woken.node->processStalled(span);
            for (const auto &event : std::exchange(woken.missed, {}))
                event();
        });
    }

    /// \brief Replaces the daemon's roots, as a change of its settings does.
    void setRoots(std::size_t index, const std::vector<Endpoint> &roots)
    {
        node(index)->setRoots(roots);
    }

    /// \brief Replaces the daemon's store client, as a change of the store's address does. Pending
    /// calls end without a result.
    void moveStore(std::size_t index)
    {
        m_daemons[index]->storeClient = std::make_shared<bool>(true);
        node(index)->processStalled(Duration{0});
    }

    [[nodiscard]] DirectNode *node(std::size_t index) { return m_daemons[index]->node.get(); }
    [[nodiscard]] bool frozen(std::size_t index) const { return m_daemons[index]->frozen; }
    [[nodiscard]] std::size_t size() const noexcept { return m_daemons.size(); }
    /// \return Number of queries from other daemons to this one so far.
    [[nodiscard]] std::uint64_t queriesTo(std::size_t index) const
    {
        return m_daemons[index]->asked;
    }
    /// \return Bytes that a daemon has sent to others so far, bodies without HTTP headers, and the
    /// number of messages.
    [[nodiscard]] std::pair<std::uint64_t, std::uint64_t> sentBy(std::size_t index) const
    {
        return {m_daemons[index]->bytes, m_daemons[index]->messages};
    }

    /// \return Connections from other daemons to this one.
    [[nodiscard]] const FakeConnections &connectionsOf(std::size_t index) const
    {
        return m_daemons[index]->connections;
    }

    /// \return Whether the daemon would place a new flow on the target.
    [[nodiscard]] bool places(std::size_t index, std::uint64_t target)
    {
        const auto &all = node(index)->router().targets().all();
        const auto found = all.find(TargetId{target});
        if (found == all.end())
            return false;
        return node(index)->router().targets().state(found->second) == DirectTargetState::Healthy;
    }

    [[nodiscard]] static Endpoint addressOf(std::size_t index)
    {
        return {0x0A010000U + static_cast<std::uint32_t>(index), 9000};
    }

    [[nodiscard]] static std::string targetKey(std::uint64_t id)
    {
        return "targets/" + std::to_string(id);
    }

    VirtualTime time;
    FakeDirectoryStore store;
    std::uint64_t queries = 0; ///< Queries between daemons so far.
    bool countBytes = false;   ///< Whether sentBy() is counted; this takes time.
    /// Capacity of each daemon's link, both directions together; 0 for unlimited links.
    std::uint64_t linkBytesPerSecond = 0;
    bool sendsAsWritten = false;        ///< Answers occupy links with their encoded size; slow.
    std::set<std::size_t> cutFromPeers; ///< Daemons whose messages to and from others are lost.
    /// Daemons whose VMs have no power: connections to them hang.
    std::set<std::size_t> withoutPower;
    /// Time that a daemon takes for one query of another daemon; it handles them one at a time.
    Duration handling{0};

private:
    struct Daemon
    {
        std::unique_ptr<DirectNode> node;
        std::shared_ptr<bool> life;
        std::shared_ptr<bool> storeClient = std::make_shared<bool>(true);
        bool frozen = false;
        std::uint64_t asked = 0;    ///< Queries from other daemons.
        std::uint64_t bytes = 0;    ///< Sent to other daemons.
        std::uint64_t messages = 0; ///< Sent to other daemons.
        TimePoint linkFreeAt{};     ///< When all transfers so far have passed.
        TimePoint handlesAt{};      ///< When the next query can be handled.
        FakeConnections connections;
        std::vector<std::function<void()>> missed;
    };

    /// \return A function that runs an event of a daemon. A frozen daemon runs it when it resumes;
    /// one that was killed or restarted since drops it.
    [[nodiscard]] std::function<void()> at(std::size_t index, std::function<void()> event)
    {
        return
            [this, index, event = std::move(event), life = std::weak_ptr{m_daemons[index]->life}] {
                if (life.expired())
                    return;
                if (m_daemons[index]->frozen)
                    m_daemons[index]->missed.push_back(event);
                else
                    event();
            };
    }

    [[nodiscard]] DirectCallbacks callbacks(std::size_t index)
    {
        DirectCallbacks callbacks;
        callbacks.feed.now = [this] { return time.now(); };
        callbacks.feed.after = [this, index](Duration wait, std::function<void()> call) {
            time.after(wait, at(index, std::move(call)));
        };
        callbacks.feed.call = [this, index](const PlatformRequest &request,
                                            std::function<void(PlatformResult)> done) {
            store.call(static_cast<int>(index), request,
                       [this, index, done, life = std::weak_ptr{m_daemons[index]->life},
                        client = std::weak_ptr{m_daemons[index]->storeClient}](
                           const PlatformResult &result) {
                           if (life.expired() || client.expired())
                               return;
                           const Duration passing = occupy(index, sizeOf(result));
                           // An answer that keeps arriving is awaited, as by PlatformClient, up to
                           // its limit.
                           constexpr Duration longest = PlatformClientSettings{}.maxAnswerTime;
                           const bool late = passing > longest;
                           const PlatformResult seen
                               = late ? PlatformFailure{"no answer"} : PlatformResult{result};
                           time.after(std::min(passing, longest),
                                      at(index, [done, seen] { done(seen); }));
                       });
        };
        callbacks.peers.now = callbacks.feed.now;
        callbacks.peers.after = callbacks.feed.after;
        callbacks.peers.ask
            = [this, index](const Endpoint &peer, const PeerQuery &question,
                            const QueryTimeouts &limits, std::function<void(PeerResult)> done) {
                  ask(index, peer, question, limits, std::move(done));
              };
        callbacks.reader = reader();
        callbacks.applyVerdict
            = [](const Segment &, const std::string &, const SegmentVerdict &) {};
        m_customizeCallbacks(index, callbacks);
        return callbacks;
    }

    // Answers in transit share the links, so each one starts to arrive as soon as it is sent.
    void ask(std::size_t from, const Endpoint &peer, const PeerQuery &question,
             const QueryTimeouts &limits, std::function<void(PeerResult)> done)
    {
        ++queries;
        const auto answered = std::make_shared<bool>(false);
        const auto begun = std::make_shared<bool>(false);
        const auto once = [this, from, answered, done](const PeerReply &reply) {
            if (std::exchange(*answered, true))
                return;
            at(from, [done, reply] { done({reply, sizeOf(reply), reply ? "" : "no answer"}); })();
        };
        const std::size_t to = peer.address - addressOf(0).address;
        const bool cut = cutFromPeers.contains(from) || cutFromPeers.contains(to);
        const Duration begin = cut || withoutPower.contains(to)
                                   ? std::min(limits.connect, limits.firstByte)
                                   : limits.firstByte;
        time.after(begin, at(from, [once, begun] {
                       if (!*begun)
                           once(std::nullopt);
                   }));
        time.after(limits.total, at(from, [once] { once(std::nullopt); }));
        if (cut || withoutPower.contains(to))
            return;
        ++m_daemons[to]->asked;
        if (countBytes)
            countSent(from, wire::toJson(question));
        time.after(Hop, [this, from, to, question, once, begun] {
            Daemon &asked = *m_daemons[to];
            if (!asked.node) {
                time.after(Hop, [once] { once(std::nullopt); }); // Connection refused.
                return;
            }
            const bool closes = asked.connections.begin(from, time.now());
            asked.handlesAt = std::max(asked.handlesAt, time.now()) + handling;
            time.after(asked.handlesAt - time.now(),
                       at(to, [this, from, to, question, once, begun, closes] {
                           handle(from, to, question, once, begun, closes);
                       }));
        });
    }

    void handle(std::size_t from, std::size_t to, const PeerQuery &question,
                const std::function<void(const PeerReply &)> &once,
                const std::shared_ptr<bool> &begun, bool closes)
    {
        m_daemons[to]->node->handle(question, [this, from, to, once, begun,
                                               closes](const PeerReply &sent) {
            const PeerReply reply = asRead(sent);
            m_daemons[to]->connections.end(from, time.now(), !closes && !closesConnection(reply));
            if (countBytes && reply)
                countSent(to, wire::toJson(*reply));
            if (cutFromPeers.contains(from) || cutFromPeers.contains(to))
                return;
            const std::uint64_t size = passingSizeOf(reply);
            const Duration passing = std::max(occupy(to, size), occupy(from, size));
            time.after(Hop, [begun] { *begun = true; });
            time.after(Hop + passing, [once, reply] { once(reply); });
        });
    }

    [[nodiscard]] static std::uint64_t sizeOf(const std::vector<StoredObject> &objects)
    {
        constexpr std::uint64_t heads = 50; // Field names, the version, punctuation.
        std::uint64_t size = 0;
        for (const StoredObject &object : objects)
            size += object.key.size() + object.value.size() + heads;
        return size;
    }
    [[nodiscard]] static std::uint64_t sizeOf(const PlatformResult &result)
    {
        const auto *list = std::get_if<ObjectList>(&result);
        return list ? sizeOf(list->objects) : 0;
    }
    [[nodiscard]] static std::uint64_t sizeOf(const PeerReply &reply)
    {
        if (!reply)
            return 0;
        std::uint64_t size = 0;
        for (const CollectionAnswer &answer : reply->collections) {
            size += sizeOf(answer.delta.change.written);
            for (const ValuePatch &patch : answer.patches)
                size += patch.key.size() + toBase64(patch.bytes).size();
        }
        return size;
    }

    /// \return The reply as the other daemon reads it.
    [[nodiscard]] static PeerReply asRead(PeerReply reply)
    {
        if (reply && reply->whole)
            reply->collections = std::exchange(reply->whole, {})->collections();
        return reply;
    }

    [[nodiscard]] std::uint64_t passingSizeOf(const PeerReply &reply) const
    {
        if (!sendsAsWritten || !reply)
            return sizeOf(reply);
        const auto packed = wire::pack(*reply);
        return packed ? packed->size() : wire::toJson(*reply).size();
    }

    /// \brief Sends \a bytes through a daemon's link. They occupy it even if nobody waits for them
    /// any more. \return Time until the last one has passed.
    Duration occupy(std::size_t index, std::uint64_t bytes)
    {
        if (linkBytesPerSecond == 0 || bytes == 0)
            return Duration{0};
        TimePoint &free = m_daemons[index]->linkFreeAt;
        free = std::max(free, time.now()) + Duration{1s} * bytes / linkBytesPerSecond;
        return free - time.now();
    }

    void countSent(std::size_t index, const std::string &body)
    {
        m_daemons[index]->bytes += body.size();
        ++m_daemons[index]->messages;
    }

    [[nodiscard]] static DirectoryReader reader()
    {
        DirectoryReader reader;
        reader.routes
            = [](const StoredObject &object) -> std::variant<RouteTable, DirectoryFinding> {
            if (object.value.empty())
                return DirectoryFinding{object.key, "is empty"};
            RouteTable table;
            table.version = std::stoull(object.value);
            const ServiceId service = serviceId("x", "x");
            table.serviceNames[service] = "x";
            const Endpoint address{0xC6120001, 443};
            table.routes[address] = Route{"r", address, {{service, 1}}};
            return table;
        };
        reader.target
            = [](const StoredObject &object) -> std::variant<RegisteredTarget, DirectoryFinding> {
            const std::size_t space = object.value.find(' ');
            if (space == std::string::npos)
                return DirectoryFinding{object.key, "has no state"};
            const std::string service = object.value.substr(0, space);
            RegisteredTarget target;
            target.id = TargetId{std::stoull(object.key.substr(TargetsPrefix.size()))};
            target.name = object.key.substr(TargetsPrefix.size());
            target.service = serviceId(service, service);
            target.domain = "d0";
            target.address = {0x0B000000U + static_cast<std::uint32_t>(target.id.value()), 80};
            target.draining = object.value.ends_with(" draining");
            return target;
        };
        reader.targetId = [](const std::string &key) -> std::optional<TargetId> {
            return TargetId{std::stoull(key.substr(TargetsPrefix.size()))};
        };
        return reader;
    }

    std::uint64_t m_seed;
    CustomizeCallbacks m_customizeCallbacks;
    DirectNodeSettings m_settings;
    std::vector<Endpoint> m_roots;
    std::vector<std::unique_ptr<Daemon>> m_daemons;
};

} // namespace baobabtrail::test
