#pragma once

#include "core/control/control_node.h"
#include "core/keys.h"
#include "daemon/nodes/core_timer.h"
#include "daemon/supervisor/supervisor.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace baobabtrail::daemon {

/// \brief Callbacks that carry out a control node's actions. Each completion handler passed to them
/// must be called exactly once, and not from within the callback.
struct ControlCallbacks
{
    using Answer = std::function<void(std::optional<std::string>)>;

    std::function<void(const Endpoint &, std::string)> toPeer;
    std::function<void(const Endpoint &, const std::string &, Answer)> fetch;
    std::function<void(const PlatformRequest &, std::function<void(PlatformResult)>)> platform;
    std::function<void(const ConfigPtr &)> publishConfig;
    std::function<void(const ViewPtr &)> publishView;
    std::function<void(const Notice &)> notice;
};

/// \brief Drives a ControlNode: passes it events, the time and its timer, and carries out its
/// actions.
class ControlRunner
{
public:
    using ProposalHandler = std::function<void(const ProposalOutcome &)>;

    ControlRunner(boost::asio::io_context &context, const NodeIdentity &identity,
                  const ControlSettings &settings, std::shared_ptr<const KeyRing> keys,
                  std::uint64_t seed, ControlCallbacks callbacks, FailureHandler failed);
    /// \brief Completes all pending proposals with an unknown outcome.
    ~ControlRunner();
    ControlRunner(const ControlRunner &) = delete;
    ControlRunner &operator=(const ControlRunner &) = delete;

    /// \brief Starts the node. Not part of the constructor, since it publishes immediately.
    void start();
    void handle(ControlEvent event);

    /// \brief Passes a proposal to the node.
    /// \param done Called once, not from within propose().
    void propose(Propose proposal, ProposalHandler done);
    /// \return The encoded answer to a peer's request, or nothing where it isn't a valid request of
    /// a daemon.
    [[nodiscard]] std::optional<std::string> serve(std::string_view request) const;
    /// \brief Fetches a peer's status.
    /// \param records The peer's address for records.
    /// \param done Called with nothing where the peer doesn't answer.
    void fetchStatus(const Endpoint &records,
                     std::function<void(std::optional<DomainStatus>)> done) const;

    [[nodiscard]] const ControlNode &node() const noexcept { return m_node; }

private:
    /// \return A handler that marks the node as broken. After an exception it may hold a
    /// half-applied change, so it gets no further events.
    [[nodiscard]] FailureHandler failureHandler();
    void perform();
    void perform(ControlSendToPeer &action);
    void perform(FetchFromPeer &action);
    void perform(PlatformCall &action);
    void perform(PublishConfig &action) { m_callbacks.publishConfig(action.config); }
    void perform(PublishView &action) { m_callbacks.publishView(action.view); }
    void perform(ProposalDone &action);
    void perform(Notice &action) { m_callbacks.notice(action); }

    [[nodiscard]] std::optional<RecordsMessage>
    decode(const std::optional<std::string> &bytes) const;

    boost::asio::io_context &m_context;
    NodeIdentity m_identity;
    std::shared_ptr<const KeyRing> m_keys;
    ControlCallbacks m_callbacks;
    FailureHandler m_failed;
    ControlNode m_node;
    ControlActions m_actions;
    CoreTimer m_timer;
    std::map<ProposalId, ProposalHandler> m_proposals;
    std::uint64_t m_lastProposal = 0;
    bool m_broken = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace baobabtrail::daemon
