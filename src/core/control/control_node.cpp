#include "core/control/control_node.h"

#include "core/config/config_log.h"
#include "core/config/log_reader.h"
#include "core/config/proposer.h"
#include "core/control/context.h"
#include "core/control/peer_fetcher.h"
#include "core/control/quarantine_check.h"
#include "core/control/watcher.h"
#include "core/membership/swim.h"
#include "core/membership/watchers.h"

#include <algorithm>
#include <utility>

namespace baobabtrail {

namespace {

constexpr Duration StallThreshold = 2s; ///< A timer this overdue means that the process stalled.
constexpr Duration ConfigAgeCheckPeriod = 10s;
constexpr Duration ConfigAgeWarning = 60s; ///< Configuration age from which on a warning is logged.
constexpr Duration ConfigAgeWarningPeriod = 300s;

} // namespace

class ControlNode::Impl
{
public:
    Impl(NodeIdentity identity, ControlSettings settings, std::uint64_t seed);

    void start(TimePoint now, ControlActions &out);
    void handle(ControlEvent &event, TimePoint now, std::chrono::sys_seconds unixNow,
                ControlActions &out);
    [[nodiscard]] RecordsMessage serve(const RecordsMessage &request, TimePoint now) const;
    [[nodiscard]] DomainStatus status(TimePoint now) const;

    [[nodiscard]] const ControlContext &context() const noexcept { return m_context; }
    [[nodiscard]] const ConfigLog &log() const noexcept { return m_log; }
    [[nodiscard]] const ConfigPtr &published() const noexcept { return m_published; }
    [[nodiscard]] bool listed() const noexcept { return m_watcher.listed(); }
    [[nodiscard]] ViewPtr view() const { return std::make_shared<const View>(m_swim.view()); }

private:
    void on(ControlFromPeer &event);
    void on(FetchResult &event) { m_context.deliver(event); }
    void on(PlatformReply &event) { m_context.deliver(event); }
    void on(Propose &event) { m_proposer.propose(std::move(event)); }
    void on(AnnounceLeave &) { m_swim.announceLeave(); }
    void on(ControlTimerExpired &) {}

    void onPeerUpdate(const MemberUpdate &peer, std::optional<Duration> age);
    void publish();
    void notifyPeers();
    void sendRevisionNotice(const Endpoint &address);
    void checkConfigAge();
    void updateConfirmedAt(TimePoint time);
    [[nodiscard]] std::optional<TimePoint> confirmedAt() const;
    [[nodiscard]] std::optional<Duration> knownAge(TimePoint now) const;
    [[nodiscard]] Duration age(TimePoint now) const;

    ControlContext m_context;
    ConfigLog m_log;
    LogReader m_reader;
    Swim m_swim;
    PeerFetcher m_fetcher;
    Watcher m_watcher;
    QuarantineCheck m_quarantineCheck;
    Proposer m_proposer;
    ConfigPtr m_published;
    TimePoint m_startedAt{};
    std::optional<TimePoint> m_peerConfirmedAt; ///< For the revision in force, by peers.
    std::optional<TimePoint> m_ageReportedAt;
};

ControlNode::Impl::Impl(NodeIdentity identity, ControlSettings settings, std::uint64_t seed)
    : m_context(std::move(identity), std::move(settings), seed)
    , m_reader(m_context, m_log)
    , m_swim(
          m_context,
          [this](const MemberUpdate &peer, std::optional<Duration> peerAge) {
              onPeerUpdate(peer, peerAge);
          },
          [this] { return knownAge(m_context.now()); })
    , m_fetcher(m_context, m_log, m_reader)
    , m_watcher(m_context, m_log, m_reader, m_swim, [this] { return age(m_context.now()); })
    , m_quarantineCheck(m_context, m_swim)
    , m_proposer(m_context, m_log, m_reader,
                 [this](std::vector<QuarantineUse> uses, Proposer::QuarantineChecked done) {
                     m_quarantineCheck.check(std::move(uses), std::move(done));
                 })
    , m_published(m_log.config())
{
}

void ControlNode::Impl::start(TimePoint now, ControlActions &out)
{
    m_startedAt = now;
    m_context.beginEvent(now, {}, out);
    m_context.emit(PublishConfig{m_published});
    m_swim.start();
    m_watcher.start();
    m_context.after(ConfigAgeCheckPeriod, [this] { checkConfigAge(); });
    publish();
    m_context.endEvent();
}

void ControlNode::Impl::handle(ControlEvent &event, TimePoint now, std::chrono::sys_seconds unixNow,
                               ControlActions &out)
{
    m_context.beginEvent(now, unixNow, out);
    // After a stall every other daemon looks silent, since their answers were not read meanwhile.
    if (m_context.timerLateness() > StallThreshold)
        m_swim.onStall();
    std::visit([this](auto &typed) { on(typed); }, event);
    m_context.runDueTimers();
    publish();
    m_context.endEvent();
}

void ControlNode::Impl::on(ControlFromPeer &event)
{
    if (const auto *notice = std::get_if<RevisionNotice>(&event.datagram.body)) {
        m_swim.raiseRevision(event.datagram.from, notice->revision);
        m_fetcher.onPeerRevision(notice->revision, notice->records);
        return;
    }
    m_swim.receive(event.datagram, event.address);
}

void ControlNode::Impl::onPeerUpdate(const MemberUpdate &peer, std::optional<Duration> peerAge)
{
    m_fetcher.onPeerRevision(peer.revision, peer.records);
    if (peerAge && peer.revision == m_log.revision())
        updateConfirmedAt(m_context.now() - *peerAge);
}

void ControlNode::Impl::publish()
{
    const bool advanced = m_log.revision() > m_published->revision;
    if (advanced) {
        m_published = m_log.config();
        m_context.emit(PublishConfig{m_published});
        m_swim.setRevision(m_published->revision);
        notifyPeers();
    }
    if (m_swim.takeChanged())
        m_context.emit(PublishView{view()});
}

// Notifies random peers, which spread the revision in the domain; the domain's watchers, which
// track who has applied it; and one daemon of every other domain, which brings it to a domain that
// is cut off from the platform.
void ControlNode::Impl::notifyPeers()
{
    const Revision revision = m_published->revision;
    const View view = m_swim.view();
    std::vector<Endpoint> behind;
    for (const MemberUpdate *peer : m_swim.peers()) {
        if (peer->revision < revision)
            behind.push_back(peer->address);
    }
    for (std::size_t i = 0; i < m_context.settings().noticeFanOut && !behind.empty(); ++i) {
        const std::size_t index = m_context.pick(behind.size());
        sendRevisionNotice(behind[index]);
        behind.erase(behind.begin() + static_cast<std::ptrdiff_t>(index));
    }

    const std::size_t count = m_context.settings().watchersPerDomain;
    const std::vector<const Member *> watchers = watchersOf(view.domain, view.members, count);
    for (const Member *watcher : watchers) {
        if (watcher->id != view.self)
            sendRevisionNotice(watcher->address);
    }

    const bool isWatcher = std::any_of(watchers.begin(), watchers.end(), [&](const Member *member) {
        return member->id == view.self;
    });
    const bool isAuthor = m_proposer.lastWritten() == revision;
    if (!isWatcher && !isAuthor)
        return;
    for (const auto &[domain, members] : view.remote)
        sendRevisionNotice(members[m_context.pick(members.size())].address);
}

void ControlNode::Impl::sendRevisionNotice(const Endpoint &address)
{
    m_context.send(address, RevisionNotice{m_published->revision, m_context.identity().records});
}

void ControlNode::Impl::updateConfirmedAt(TimePoint time)
{
    m_peerConfirmedAt = m_peerConfirmedAt ? std::max(*m_peerConfirmedAt, time) : time;
}

std::optional<TimePoint> ControlNode::Impl::confirmedAt() const
{
    const auto own = m_reader.confirmedAt();
    if (!own || !m_peerConfirmedAt)
        return own ? own : m_peerConfirmedAt;
    return std::max(*own, *m_peerConfirmedAt);
}

std::optional<Duration> ControlNode::Impl::knownAge(TimePoint now) const
{
    const auto confirmed = confirmedAt();
    if (!confirmed)
        return std::nullopt;
    return std::max(now - *confirmed, Duration{0});
}

Duration ControlNode::Impl::age(TimePoint now) const
{
    return knownAge(now).value_or(now - m_startedAt);
}

void ControlNode::Impl::checkConfigAge()
{
    m_context.after(ConfigAgeCheckPeriod, [this] { checkConfigAge(); });
    const TimePoint now = m_context.now();
    if (age(now) < ConfigAgeWarning) {
        if (std::exchange(m_ageReportedAt, std::nullopt))
            m_context.notice(Severity::Info, Part::Distribution,
                             "The configuration is known to be the newest again");
        return;
    }
    if (m_ageReportedAt && now - *m_ageReportedAt < ConfigAgeWarningPeriod)
        return;
    m_ageReportedAt = now;
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(age(now));
    m_context.notice(Severity::Warning, Part::Distribution,
                     "Cut off from the platform: serving on revision "
                         + std::to_string(m_published->revision.value()) + ", last confirmed "
                         + std::to_string(seconds.count()) + " s ago");
}

RecordsMessage ControlNode::Impl::serve(const RecordsMessage &request, TimePoint now) const
{
    if (const auto *fetch = std::get_if<FetchRecords>(&request))
        return m_log.serve(*fetch);
    return status(now);
}

DomainStatus ControlNode::Impl::status(TimePoint now) const
{
    DomainStatus status;
    status.domain = m_context.identity().domain;
    status.revision = m_published->revision;
    status.members = m_swim.statusMembers();
    status.configAge = age(now);
    return status;
}

ControlNode::ControlNode(NodeIdentity identity, ControlSettings settings, std::uint64_t seed)
    : m_impl(std::make_unique<Impl>(std::move(identity), std::move(settings), seed))
{
}

ControlNode::~ControlNode() = default;

void ControlNode::start(TimePoint now, ControlActions &out)
{
    m_impl->start(now, out);
}

void ControlNode::handle(ControlEvent event, TimePoint now, std::chrono::sys_seconds unixNow,
                         ControlActions &out)
{
    m_impl->handle(event, now, unixNow, out);
}

std::optional<TimePoint> ControlNode::nextTimer() const
{
    return m_impl->context().nextTimer();
}

RecordsMessage ControlNode::serve(const RecordsMessage &request, TimePoint now) const
{
    return m_impl->serve(request, now);
}

ConfigPtr ControlNode::config() const noexcept
{
    return m_impl->published();
}

ViewPtr ControlNode::view() const noexcept
{
    return m_impl->view();
}

bool ControlNode::listed() const noexcept
{
    return m_impl->listed();
}

DomainStatus ControlNode::status(TimePoint now) const
{
    return m_impl->status(now);
}

std::vector<ChangeRecord> ControlNode::recentChanges() const
{
    return m_impl->log().retainedRecords();
}

} // namespace baobabtrail
