#include "core/control/watcher.h"

#include "core/config/log_keys.h"

#include <algorithm>

namespace baobabtrail {

namespace {

constexpr Duration RoleCheckPeriod = 1s; ///< How often a daemon checks whether it became a watcher.
constexpr Duration WatchGrace = 1s;      ///< Time that a watch may lag behind a list.
constexpr Duration MinWatchDuration = 200ms;
constexpr int NonWatcherPeriodFactor = 6; ///< For VM list retries of non-watchers.
constexpr int NonWatcherRemoteTicks = 12; ///< Non-watchers compare revisions across domains once in
                                          ///< this many periods.
constexpr int MaxUnconfirmedPeriods = 3;  ///< Non-watchers read the log after this many.

[[nodiscard]] bool containsVm(const VmList &list, DaemonId daemon)
{
    return std::any_of(list.vms.begin(), list.vms.end(),
                       [&](const VmEntry &vm) { return vm.daemon == daemon; });
}

} // namespace

Watcher::Watcher(ControlContext &context, ConfigLog &log, LogReader &reader, Swim &swim, Age age)
    : m_context(context)
    , m_log(log)
    , m_reader(reader)
    , m_swim(swim)
    , m_age(std::move(age))
    , m_snapshots(context, log)
{
}

void Watcher::start()
{
    readAtStart();
    pollVms();
    m_context.after(withJitter(m_context.random(), RoleCheckPeriod), [this] { startWatch(); });
    m_context.after(withJitter(m_context.random(), m_context.settings().antiEntropyPeriod),
                    [this] { listPeriodically(); });
    m_context.after(withJitter(m_context.random(), m_context.settings().antiEntropyPeriod),
                    [this] { compareWithRemote(); });
    m_context.after(withJitter(m_context.random(), m_context.settings().vmListPeriod),
                    [this] { snapshotPeriodically(); });
}

std::optional<std::size_t> Watcher::rank() const
{
    return m_swim.watcherRank();
}

// Every daemon reads the log once at startup, unless peers provide the configuration first: a
// restarted domain would otherwise wait for watchers that have not found each other yet.
void Watcher::readAtStart()
{
    m_reader.catchUp([this](const LogReadResult &result) {
        if (const auto *done = std::get_if<LogReadDone>(&result)) {
            m_version = std::max(m_version, done->latest);
            return;
        }
        if (!m_log.revision().isNull() && !rank())
            return;
        const auto *failure = std::get_if<LogUnreachable>(&result);
        const Duration atLeast = failure ? failure->retryAfter : Duration{0};
        m_context.after(m_startBackoff.next(m_context.random(), atLeast),
                        [this] { readAtStart(); });
    });
}

void Watcher::startWatch()
{
    if (m_watching)
        return;
    // Without a version to start after, a watch would return the whole log.
    if (!rank() || m_version.isNull()) {
        m_context.after(RoleCheckPeriod, [this] { startWatch(); });
        return;
    }
    m_watching = true;
    const std::uint64_t epoch = ++m_watchEpoch;
    const WatchObjects request{std::string{LogPrefix}, m_version, m_context.settings().watchWait};
    m_context.call(request,
                   [this, epoch, startedAt = m_context.now()](const PlatformResult &result) {
                       onWatchReply(epoch, startedAt, result);
                   });
}

void Watcher::onWatchReply(std::uint64_t epoch, TimePoint startedAt, const PlatformResult &result)
{
    if (epoch != m_watchEpoch)
        return; // Abandoned as stalled and already replaced by another watch.
    m_watching = false;
    ++m_watchReplies;
    if (const auto *list = std::get_if<ObjectList>(&result))
        return applyWatchReply(*list, startedAt);
    // The same watch would be refused forever: the list provides a version that the store still
    // has.
    if (std::holds_alternative<HistoryCompacted>(result))
        readLog();
    const auto *failure = std::get_if<PlatformFailure>(&result);
    const Duration atLeast = failure ? failure->retryAfter : Duration{0};
    m_context.after(m_watchBackoff.next(m_context.random(), atLeast), [this] { startWatch(); });
}

void Watcher::applyWatchReply(const ObjectList &list, TimePoint startedAt)
{
    m_watchBackoff.reset();
    m_version = std::max(m_version, list.latest);
    for (const StoredObject &object : list.objects)
        m_version = std::max(m_version, object.version);
    if (m_reader.applyWatched(list))
        readLog(); // The watch skipped an object.
    // A watch that keeps returning at once without objects would cause a flood of calls.
    const bool tooShort = list.objects.empty() && m_context.now() - startedAt < MinWatchDuration;
    if (tooShort)
        m_context.after(MinWatchDuration, [this] { startWatch(); });
    else
        startWatch();
}

// A watch can fail silently or skip an object, and then keeps waiting while the log grows. The
// periodic list finds the record; a watch that has not returned by then is replaced.
void Watcher::replaceStalledWatch(std::uint64_t replies)
{
    if (!m_watching || replies != m_watchReplies)
        return;
    m_watching = false;
    ++m_watchEpoch;
    m_context.notice(Severity::Warning, Part::Platform, "A watch missed a change; restarting it");
    startWatch();
}

void Watcher::listPeriodically()
{
    m_context.after(withJitter(m_context.random(), m_context.settings().antiEntropyPeriod),
                    [this] { listPeriodically(); });
    if (shouldReadLog())
        readLog();
}

void Watcher::readLog()
{
    const Revision before = m_log.revision();
    const std::uint64_t replies = m_watchReplies;
    m_reader.catchUp([this, before, replies](const LogReadResult &result) {
        if (const auto *failure = std::get_if<LogUnreachable>(&result)) {
            m_readNotBefore = m_context.now() + failure->retryAfter;
            return;
        }
        const auto *done = std::get_if<LogReadDone>(&result);
        if (!done)
            return;
        m_version = std::max(m_version, done->latest);
        if (m_log.revision() != before && m_watching)
            m_context.after(WatchGrace, [this, replies] { replaceStalledWatch(replies); });
    });
}

bool Watcher::shouldReadLog()
{
    if (m_readNotBefore && m_context.now() < *m_readNotBefore)
        return false;
    if (rank())
        return true;
    // The watchers alone may be cut off from the platform. A daemon whose configuration was not
    // confirmed for long reads the log itself, with such a probability that all daemons of the
    // domain together read as often as its watchers would.
    const Duration period = m_context.settings().antiEntropyPeriod;
    if (m_age() < MaxUnconfirmedPeriods * period)
        return false;
    return m_context.pick(m_swim.memberCount()) < m_context.settings().watchersPerDomain;
}

void Watcher::pollVms()
{
    const Duration period = m_context.settings().vmListPeriod;
    const bool needed = rank() || !m_swim.hasPeers();
    if (!needed && m_listed) {
        m_context.after(withJitter(m_context.random(), period), [this] { pollVms(); });
        return;
    }
    m_context.call(ListVms{}, [this, needed, period](const PlatformResult &result) {
        if (const auto *list = std::get_if<VmList>(&result)) {
            m_listed = m_listed || containsVm(*list, m_context.identity().daemon);
            m_vmBackoff.reset();
            m_swim.applyVmList(*list);
            m_context.after(vmPollDelay(), [this] { pollVms(); });
            return;
        }
        const auto *failure = std::get_if<PlatformFailure>(&result);
        Duration wait
            = m_vmBackoff.next(m_context.random(), failure ? failure->retryAfter : Duration{0});
        if (!needed)
            wait = std::max(wait, withJitter(m_context.random(), period * NonWatcherPeriodFactor));
        m_context.after(wait, [this] { pollVms(); });
    });
}

// VMs that start together all read a list that lags behind. Each would know only itself for a whole
// period: it would place work by itself and consider a change in force everywhere that only it has.
// Polling soon, and then less and less often, costs a daemon without peers only a few calls.
Duration Watcher::vmPollDelay()
{
    const Duration period = withJitter(m_context.random(), m_context.settings().vmListPeriod);
    if (m_swim.hasPeers() && m_listed)
        return period;
    return std::min(period, m_discoveryBackoff.next(m_context.random(), Duration{0}));
}

// A failure domain that is cut off from the platform learns of changes from other domains.
void Watcher::compareWithRemote()
{
    const Duration period = m_context.settings().antiEntropyPeriod;
    m_context.after(withJitter(m_context.random(), period), [this] { compareWithRemote(); });
    const bool skipped = m_remoteTicks++ % NonWatcherRemoteTicks != 0;
    if (rank() || !skipped)
        m_swim.pingRemote();
}

void Watcher::snapshotPeriodically()
{
    m_context.after(withJitter(m_context.random(), m_context.settings().vmListPeriod),
                    [this] { snapshotPeriodically(); });
    if (rank() == std::optional<std::size_t>{0})
        m_snapshots.tick();
}

} // namespace baobabtrail
