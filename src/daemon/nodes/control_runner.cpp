#include "daemon/nodes/control_runner.h"

#include "daemon/clock.h"
#include "wire/codec.h"

#include <boost/asio/post.hpp>

#include <utility>

namespace baobabtrail::daemon {

ControlRunner::ControlRunner(boost::asio::io_context &context, const NodeIdentity &identity,
                             const ControlSettings &settings, std::shared_ptr<const KeyRing> keys,
                             std::uint64_t seed, ControlCallbacks callbacks, FailureHandler failed)
    : m_context(context)
    , m_identity(identity)
    , m_keys(std::move(keys))
    , m_callbacks(std::move(callbacks))
    , m_failed(std::move(failed))
    , m_node(identity, settings, seed)
    , m_timer(
          context, [this] { return m_node.nextTimer(); }, [this] { handle(ControlTimerExpired{}); })
{
}

ControlRunner::~ControlRunner()
{
    for (auto &[proposal, done] : m_proposals)
        boost::asio::post(m_context, [done = std::move(done)] {
            done(ProposalUnknown{"the daemon is stopping"});
        });
}

void ControlRunner::start()
{
    if (m_broken)
        return;
    guarded(failureHandler(), [&] {
        m_node.start(monotonicNow(), m_actions);
        perform();
        m_timer.update();
    });
}

void ControlRunner::handle(ControlEvent event)
{
    if (m_broken)
        return;
    guarded(failureHandler(), [&] {
        m_node.handle(std::move(event), monotonicNow(), wallNow(), m_actions);
        perform();
        m_timer.update();
    });
}

void ControlRunner::propose(Propose proposal, ProposalHandler done)
{
    proposal.proposal = ProposalId{++m_lastProposal};
    m_proposals.emplace(proposal.proposal, std::move(done));
    handle(std::move(proposal));
}

std::optional<std::string> ControlRunner::serve(std::string_view request) const
{
    const auto decoded = wire::decodeRecords(request, *m_keys);
    const auto *message = std::get_if<RecordsMessage>(&decoded);
    if (!message)
        return std::nullopt;
    const bool isQuestion = std::holds_alternative<FetchRecords>(*message)
                            || std::holds_alternative<FetchStatus>(*message);
    if (!isQuestion)
        return std::nullopt;
    return wire::encode(m_node.serve(*message, monotonicNow()), *m_keys);
}

void ControlRunner::fetchStatus(const Endpoint &records,
                                std::function<void(std::optional<DomainStatus>)> done) const
{
    const auto answered = [this, done = std::move(done), alive = std::weak_ptr{m_alive}](
                              const std::optional<std::string> &bytes) {
        std::optional<DomainStatus> status;
        if (!alive.expired()) {
            auto message = decode(bytes);
            if (message && std::holds_alternative<DomainStatus>(*message))
                status = std::get<DomainStatus>(std::move(*message));
        }
        done(std::move(status));
    };
    m_callbacks.fetch(records, wire::encode(RecordsMessage{FetchStatus{}}, *m_keys), answered);
}

FailureHandler ControlRunner::failureHandler()
{
    return [this](const std::string &why) {
        m_broken = true;
        m_failed(why);
    };
}

void ControlRunner::perform()
{
    // Publishing may cause another event of this node, whose actions are then collected in a new
    // list.
    ControlActions actions = std::exchange(m_actions, {});
    for (ControlAction &action : actions)
        std::visit([this](auto &wanted) { perform(wanted); }, action);
}

void ControlRunner::perform(ControlSendToPeer &action)
{
    const PeerDatagram datagram{m_identity.daemon, m_identity.incarnation,
                                std::move(action.message)};
    m_callbacks.toPeer(action.peer, wire::encode(datagram, *m_keys));
}

void ControlRunner::perform(FetchFromPeer &action)
{
    const auto answered = [this, records = action.records, alive = std::weak_ptr{m_alive}](
                              const std::optional<std::string> &bytes) {
        if (!alive.expired())
            handle(FetchResult{records, decode(bytes)});
    };
    m_callbacks.fetch(action.records, wire::encode(action.message, *m_keys), answered);
}

void ControlRunner::perform(PlatformCall &action)
{
    m_callbacks.platform(action.request, [this, call = action.call,
                                          alive = std::weak_ptr{m_alive}](PlatformResult result) {
        if (!alive.expired())
            handle(PlatformReply{call, std::move(result)});
    });
}

void ControlRunner::perform(ProposalDone &action)
{
    auto node = m_proposals.extract(action.proposal);
    if (node.empty())
        return;
    boost::asio::post(m_context, [done = std::move(node.mapped()),
                                  outcome = std::move(action.outcome)] { done(outcome); });
}

std::optional<RecordsMessage> ControlRunner::decode(const std::optional<std::string> &bytes) const
{
    if (!bytes)
        return std::nullopt;
    auto decoded = wire::decodeRecords(*bytes, *m_keys);
    if (auto *message = std::get_if<RecordsMessage>(&decoded))
        return std::move(*message);
    return std::nullopt;
}

} // namespace baobabtrail::daemon
