#include "core/usage/usage_exchange.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace baobabtrail {

namespace {

/// More daemons than any deployment has.
constexpr std::uint32_t MaxDaemons = 10'000;

void add(UsageTable &sum, const UsageTable &table)
{
    for (const auto &[key, usage] : table)
        sum[key] += usage;
}

[[nodiscard]] Usage scaled(const Usage &usage, double factor) noexcept
{
    return {usage.movable * factor, usage.pinned * factor, usage.answers * factor,
            usage.answerSeconds * factor};
}

[[nodiscard]] bool isNumber(double value) noexcept
{
    return std::isfinite(value) && value >= 0;
}

[[nodiscard]] bool isValid(const Usage &usage) noexcept
{
    return isNumber(usage.movable) && isNumber(usage.pinned) && isNumber(usage.answers)
           && isNumber(usage.answerSeconds);
}

/// \return The table with its largest parts only.
[[nodiscard]] UsageTable largestParts(const UsageTable &table, std::size_t count)
{
    if (table.size() <= count)
        return table;
    std::vector<UsageTable::const_iterator> parts;
    for (auto part = table.begin(); part != table.end(); ++part)
        parts.push_back(part);
    const auto larger
        = [](const auto &a, const auto &b) { return a->second.inFlight() > b->second.inFlight(); };
    const auto end = parts.begin() + static_cast<std::ptrdiff_t>(count);
    std::nth_element(parts.begin(), end, parts.end(), larger);
    UsageTable out;
    for (auto part = parts.begin(); part != end; ++part)
        out.insert(**part);
    return out;
}

} // namespace

UsageExchange::UsageExchange(UsageExchangeSettings settings, UsageExchangeCallbacks callbacks,
                             std::uint64_t incarnation)
    : m_settings(settings)
    , m_callbacks(std::move(callbacks))
    , m_incarnation(incarnation)
{
}

void UsageExchange::start()
{
    if (!m_settings.enabled)
        return;
    m_reportedAt = m_callbacks.now();
    m_ownAt = m_reportedAt;
    // Daemons that start together don't report at the same moments.
    const Duration phase
        = Duration{static_cast<Duration::rep>(m_incarnation >> 1)} % m_settings.busyInterval;
    m_callbacks.after(phase, [this, alive = std::weak_ptr{m_alive}] {
        if (!alive.expired())
            pollPeriodically();
    });
}

void UsageExchange::pollPeriodically()
{
    poll();
    m_callbacks.after(m_settings.busyInterval, [this, alive = std::weak_ptr{m_alive}] {
        if (!alive.expired())
            pollPeriodically();
    });
}

void UsageExchange::poll()
{
    const bool wasBusy = m_ownIsBusy;
    measure();
    expire();
    const bool turnedBusy = m_ownIsBusy && !wasBusy;
    if (turnedBusy || m_callbacks.now() - m_reportedAt >= timing().latest)
        report();
}

void UsageExchange::measure()
{
    const TimePoint now = m_callbacks.now();
    const Duration took = now - m_ownAt;
    if (took <= Duration{0})
        return;
    m_ownAt = now;
    const UsageTable latest = m_callbacks.take();
    // The average over a short time says little.
    if (took >= m_settings.busyInterval / 2)
        m_ownIsBusy = m_callbacks.isBusy(latest);
    const double seconds = std::chrono::duration<double>(took).count();
    for (const auto &[key, usage] : latest)
        m_measured[key] += scaled(usage, seconds);
    m_measuredSeconds += seconds;
}

void UsageExchange::expire()
{
    const TimePoint now = m_callbacks.now();
    m_children.expire(now);
    m_siblings.expire(now);
    if (m_view && now >= m_viewEndsAt)
        dropView();
}

// Whether the total was busy stays: a daemon that reported at the calm interval as soon as a total
// was missing would come back only after that.
void UsageExchange::dropView()
{
    if (!std::exchange(m_view, std::nullopt))
        return;
    m_callbacks.changed(nullptr);
}

void UsageExchange::reset()
{
    m_children.clear();
    m_siblings.clear();
    m_measured.clear();
    m_measuredSeconds = 0;
    // The average over the stall says nothing of the time after it.
    (void)m_callbacks.take();
    m_ownAt = m_callbacks.now();
    dropView();
}

Duration UsageExchange::interval() const noexcept
{
    const bool busy = m_ownIsBusy || m_subtreeIsBusy || m_totalIsBusy || m_children.anyBusy()
                      || m_siblings.anyBusy();
    return busy ? m_settings.busyInterval : m_settings.calmInterval;
}

UsageExchange::Timing UsageExchange::timing() const noexcept
{
    // The last report ends by the interval that it stated.
    const Duration current = std::min(m_promised, interval());
    return {current * 4 / 5, current, current * 5 / 4};
}

// All daemons without followers report one interval after the same total has reached them, and the
// others as soon as all their followers have: so the reports go up the tree as one wave, and the
// levels of the tree add no time.
void UsageExchange::schedule()
{
    const TimePoint now = m_callbacks.now();
    const Timing times = timing();
    TimePoint at = m_reportedAt + times.usual;
    if (!m_children.empty())
        at = m_reportedAt + (m_children.allNew() ? times.earliest : times.latest);
    else if (m_totalAt > m_reportedAt)
        at = std::clamp(m_totalAt + times.usual, m_reportedAt + times.earliest,
                        m_reportedAt + times.latest);
    if (at <= now)
        return report();
    m_callbacks.after(at - now, [this, timer = ++m_timer, alive = std::weak_ptr{m_alive}] {
        if (!alive.expired() && timer == m_timer)
            report();
    });
}

void UsageExchange::add(Sum &sum, const ReceivedReport &report) const
{
    baobabtrail::add(sum.view.usage, report.message.usage);
    sum.view.daemons += report.message.daemons;
    sum.view.measuredAt = std::min(sum.view.measuredAt, report.measuredAt);
    sum.busy = sum.busy || report.message.busy;
}

UsageExchange::Sum UsageExchange::takeSubtree()
{
    measure();
    if (m_measuredSeconds > 0) {
        m_own = std::exchange(m_measured, {});
        for (auto &[key, usage] : m_own)
            usage = scaled(usage, 1 / m_measuredSeconds);
        m_measuredSeconds = 0;
    }
    Sum sum;
    sum.view = {m_own, 1, m_ownAt};
    sum.busy = m_ownIsBusy;
    for (const auto &[from, child] : m_children.all()) {
        add(sum, child);
        sum.height = std::max(sum.height, child.message.height + 1);
    }
    sum.busy = sum.busy || m_callbacks.isBusy(sum.view.usage);
    m_subtreeIsBusy = sum.busy;
    sum.interval = interval();
    return sum;
}

void UsageExchange::report()
{
    expire();
    const Sum sum = takeSubtree();
    m_reportedAt = m_callbacks.now();
    m_promised = sum.interval;
    m_children.markReported();
    if (m_route.isRoot || m_route.source.isNull())
        reportTotal(sum);
    else
        send(m_route.source, makeMessage(UsageScope::Subtree, sum));
    schedule();
}

void UsageExchange::reportTotal(const Sum &subtree)
{
    Sum total = subtree;
    for (const auto &[from, sibling] : m_siblings.all())
        add(total, sibling);
    total.busy = total.busy || m_callbacks.isBusy(total.view.usage);
    total.height = 1;
    m_totalIsBusy = total.busy;
    total.interval = interval();
    m_promised = total.interval;
    if (m_route.isRoot) {
        // Whether the subtree is busy, not the total: roots would keep each other busy for ever.
        Sum reported = subtree;
        reported.interval = total.interval;
        for (const Endpoint &root : m_route.roots)
            send(root, makeMessage(UsageScope::Subtree, reported));
    }
    publish(total, m_callbacks.now());
}

void UsageExchange::publish(const Sum &total, TimePoint knownAt)
{
    m_totalIsBusy = total.busy;
    m_viewEndsAt = knownAt + lifetimeOf(total.interval);
    m_view = total.view;
    for (const Endpoint &child : m_children.senders())
        send(child, makeMessage(UsageScope::Total, total));
    m_callbacks.changed(&*m_view);
}

UsageMessage UsageExchange::makeMessage(UsageScope scope, const Sum &sum) const
{
    UsageMessage message;
    message.scope = scope;
    message.incarnation = m_incarnation;
    message.height = sum.height;
    message.daemons = sum.view.daemons;
    message.age = m_callbacks.now() - sum.view.measuredAt;
    message.interval = sum.interval;
    message.busy = sum.busy;
    message.usage = largestParts(sum.view.usage, m_settings.maxParts);
    return message;
}

void UsageExchange::send(const Endpoint &to, UsageMessage message)
{
    message.sequence = ++m_sequence;
    ++m_counts.sent;
    m_callbacks.send(to, message);
}

void UsageExchange::setRoute(UsageRoute route)
{
    if (!route.isRoot)
        m_children.erase(route.source);
    for (const Endpoint &root : route.roots)
        m_children.erase(root);
    for (const Endpoint &sibling : m_siblings.senders()) {
        const auto &roots = route.roots;
        if (!route.isRoot || std::find(roots.begin(), roots.end(), sibling) == roots.end())
            m_siblings.erase(sibling);
    }
    m_route = std::move(route);
}

std::vector<TreeNeighbour> UsageExchange::neighbours() const
{
    std::vector<TreeNeighbour> out;
    for (const auto &[address, child] : m_children.all())
        out.push_back({address, child.message.incarnation});
    if (!m_route.isRoot) {
        if (!m_route.source.isNull())
            out.push_back({m_route.source});
        return out;
    }
    for (const Endpoint &root : m_route.roots)
        out.push_back({root});
    return out;
}

bool UsageExchange::isOtherRoot(const Endpoint &daemon) const
{
    return std::find(m_route.roots.begin(), m_route.roots.end(), daemon) != m_route.roots.end();
}

void UsageExchange::handle(const Endpoint &from, const UsageMessage &message, TimePoint receivedAt)
{
    if (!m_settings.enabled)
        return;
    const bool accepted = accept(from, message, receivedAt);
    ++(accepted ? m_counts.received : m_counts.refused);
    if (accepted)
        schedule();
}

bool UsageExchange::accept(const Endpoint &from, const UsageMessage &message, TimePoint receivedAt)
{
    if (message.incarnation == m_incarnation || !isCredible(message))
        return false;
    if (m_callbacks.now() >= receivedAt + lifetimeOf(message.interval))
        return false;
    if (!m_guard.admit(from, message.incarnation, message.sequence, m_callbacks.now()))
        return false;
    return message.scope == UsageScope::Total ? acceptTotal(from, message, receivedAt)
                                              : acceptSubtree(from, message, receivedAt);
}

// A wrong report does harm for as long as it counts, which is short; the bounds limit how much.
bool UsageExchange::isCredible(const UsageMessage &message) const
{
    const Duration maxAge = m_settings.maxHeight * lifetimeOf(message.interval);
    if (message.daemons == 0 || message.daemons > MaxDaemons || message.age < Duration{0}
        || message.age > maxAge || message.usage.size() > m_settings.maxParts)
        return false;
    // Higher subtrees and totals that have passed more daemons come round in a circle.
    if (message.height == 0 || message.height >= m_settings.maxHeight)
        return false;
    double inFlight = 0;
    for (const auto &[key, usage] : message.usage) {
        if (!isValid(usage))
            return false;
        inFlight += usage.inFlight();
    }
    return inFlight <= m_settings.maxInFlight * message.daemons;
}

Duration UsageExchange::lifetimeOf(Duration interval) const
{
    return m_settings.missedReports
           * std::clamp(interval, m_settings.busyInterval, m_settings.calmInterval);
}

bool UsageExchange::acceptTotal(const Endpoint &from, const UsageMessage &message,
                                TimePoint receivedAt)
{
    if (m_route.isRoot || from != m_route.source)
        return false;
    expire();
    m_totalAt = m_callbacks.now();
    publish({{message.usage, message.daemons, receivedAt - message.age},
             message.height + 1,
             message.busy,
             message.interval},
            receivedAt);
    return true;
}

bool UsageExchange::acceptSubtree(const Endpoint &from, const UsageMessage &message,
                                  TimePoint receivedAt)
{
    const Duration lifetime = lifetimeOf(message.interval);
    if (isOtherRoot(from))
        return m_route.isRoot && m_siblings.put(from, message, receivedAt, lifetime);
    if (!m_route.isRoot && from == m_route.source)
        return false;
    return m_children.put(from, message, receivedAt, lifetime);
}

} // namespace baobabtrail
