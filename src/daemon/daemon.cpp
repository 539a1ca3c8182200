#include "daemon/daemon.h"

#include "daemon/clock.h"

#include <boost/asio/post.hpp>

#include <csignal>
#include <span>

namespace baobabtrail::daemon {

namespace {

// A child of the root that fails has already used up its own restarts, so the process exits.
constexpr std::size_t NoFailures = 0;

[[nodiscard]] NodeIdentity identityOf(const Settings &settings, Incarnation incarnation)
{
    return {settings.daemon, incarnation, settings.domain, settings.addresses.peer,
            settings.addresses.records};
}

[[nodiscard]] std::shared_ptr<KeyRing> keysOf(const Settings &settings)
{
    const std::span secret{settings.clusterSecret};
    return std::make_shared<KeyRing>(std::as_bytes(secret), Config{}.keyEpoch);
}

[[nodiscard]] RestartPolicy withMaxFailures(RestartPolicy policy, std::size_t maxFailures) noexcept
{
    policy.maxFailures = maxFailures;
    return policy;
}

} // namespace

Daemon::Daemon(Settings settings, Incarnation incarnation)
    : m_settings(std::move(settings))
    , m_identity(identityOf(m_settings, incarnation))
    , m_metrics(m_settings.metrics.maxWorkspaces)
    , m_log(m_settings.log.linesPerSecond)
    , m_keys(keysOf(m_settings))
    , m_dispatcher(
          m_settings.fabric, m_keys, m_metrics.counters(),
          [this](TrafficEvent event) {
              if (m_traffic)
                  m_traffic->handle(std::move(event));
          },
          [this](ControlEvent event) {
              if (m_control)
                  m_control->handle(std::move(event));
          })
    , m_stopTimer(m_context)
    , m_quiet(m_context)
    , m_network("network", m_settings.restarts, runtime())
    , m_core("core", withMaxFailures(m_settings.restarts, NoFailures), runtime())
    , m_administration("administration", m_settings.restarts, runtime())
    , m_root("daemon", withMaxFailures(m_settings.restarts, NoFailures), runtime())
{
    buildSupervisors();
}

Daemon::~Daemon()
{
    m_root.stop();
}

ExitStatus Daemon::run()
{
    logLine(Severity::Info, Part::Daemon,
            "starts as " + std::to_string(m_settings.daemon.value()) + " in " + m_settings.domain);
    m_root.start([this](const std::string &why) {
        logLine(Severity::Error, Part::Daemon, "gives up: " + why);
        finish(ExitStatus::Failed);
    });
    m_context.run();
    logLine(Severity::Info, Part::Daemon, "exits");
    return m_status;
}

void Daemon::stop()
{
    if (m_stopping || !m_traffic || !m_control) {
        finish(ExitStatus::Done);
        return;
    }
    m_stopping = true;
    logLine(Severity::Info, Part::Daemon, "stops once no request is in progress");
    m_stopTimer.start(m_settings.stopTimeout, [this] {
        logLine(Severity::Warning, Part::Daemon, "exits now, the stop timeout has expired");
        finish(ExitStatus::Done);
    });
    m_control->handle(AnnounceLeave{});
    m_traffic->handle(StopRequested{});
}

void Daemon::trafficStopped()
{
    logLine(Severity::Info, Part::Daemon, "no request is in progress; flows are still forwarded");
    const auto unread = [this] { return m_dataSocket && m_dataSocket->hasUnread(); };
    m_quiet.start(m_settings.stopLinger, {m_metrics.counters().data.datagramsIn, unread},
                  [this] { finish(ExitStatus::Done); });
}

void Daemon::finish(ExitStatus status)
{
    m_status = status;
    // Posted, since the caller may be a component that this stops and destroys.
    boost::asio::post(m_context, [this] {
        m_root.stop();
        m_context.stop();
    });
}

SupervisorRuntime Daemon::runtime()
{
    return asioRuntime(
        m_context, [this](const std::string &child, const std::string &why, Duration delay) {
            ++m_metrics.counters().restarts[child];
            const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(delay).count();
            logLine(Severity::Warning, Part::Daemon,
                    child + " failed and restarts in " + std::to_string(wait) + " ms: " + why);
        });
}

void Daemon::publish(const ConfigPtr &config)
{
    if (config->keyEpoch != m_keys->currentEpoch())
        m_keys->rotate(config->keyEpoch);
    m_config = config;
    m_metrics.workspaces().configure(*config);
    if (m_traffic)
        m_traffic->handle(ConfigChanged{config});
}

void Daemon::callPlatform(const PlatformRequest &request, std::function<void(PlatformResult)> done)
{
    // The network's components are stopped before the cores that use them. A timer of the control
    // core that fired in between crashed the process by a null pointer, in 1 of 320 daemons that
    // gave up.
    if (!m_platform) {
        boost::asio::post(m_context, [done = std::move(done)] {
            done(PlatformFailure{"the platform client has stopped"});
        });
        return;
    }
    m_platform->call(request,
                     [this, kind = request.index(), done = std::move(done)](PlatformResult result) {
                         ++m_metrics.counters().platform[kind][result.index()];
                         done(std::move(result));
                     });
}

void Daemon::propose(const ProposeCommand &action)
{
    if (!m_control)
        return;
    Propose proposal;
    proposal.draft.changeId = action.changeId;
    proposal.draft.author = "daemon " + std::to_string(m_settings.daemon.value());
    proposal.draft.unixSeconds = wallNow().time_since_epoch().count();
    proposal.draft.commands.push_back(action.command);
    m_control->propose(std::move(proposal),
                       [this, change = action.changeId](const ProposalOutcome &outcome) {
                           if (std::holds_alternative<ProposalAccepted>(outcome))
                               return;
                           // The traffic node proposes the change again, with the same change id,
                           // where it is still needed.
                           report({Severity::Warning,
                                   Part::Config,
                                   "a change proposed by this daemon was not accepted",
                                   {},
                                   change});
                       });
}

void Daemon::report(const Notice &notice)
{
    if (!m_log.write(notice, *m_config, monotonicNow()))
        ++m_metrics.counters().logLinesLeftOut;
}

} // namespace baobabtrail::daemon
