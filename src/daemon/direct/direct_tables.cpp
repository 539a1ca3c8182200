#include "daemon/direct/direct_tables.h"

#include "daemon/direct/direct_metrics.h"
#include "daemon/direct/load_table.h"
#include "language/filter_rows.h"
#include "language/parse.h"

#include <array>
#include <cstdio>
#include <map>

namespace baobabtrail::daemon {

namespace {

using language::Result;
using language::Status;
using Row = std::vector<std::string>;

constexpr const char *NotKnown = "-";

[[nodiscard]] std::string milliseconds(Duration time)
{
    std::array<char, 32> text{};
    const double value = std::chrono::duration<double, std::milli>(time).count();
    (void)std::snprintf(text.data(), text.size(), "%.1f", value);
    return text.data();
}

template <typename Number>
[[nodiscard]] std::string text(Number number)
{
    return std::to_string(number);
}

[[nodiscard]] std::string serviceName(const DirectNode &node, ServiceId service)
{
    const auto &names = node.router().routes().serviceNames;
    const auto found = names.find(service);
    return found == names.end() ? NotKnown : found->second;
}

[[nodiscard]] bool isLeaving(DirectTargetState state) noexcept
{
    return state == DirectTargetState::Draining || state == DirectTargetState::Evacuated
           || state == DirectTargetState::Lapsed || state == DirectTargetState::Gone
           || state == DirectTargetState::Refused;
}

/// \return Requests that a saturated target may have at once; NotKnown for other targets.
[[nodiscard]] std::string windowOf(const DirectNode &node, TargetId target)
{
    const TargetWindow *window = node.router().gate().window(target);
    if (!window || !window->limited())
        return NotKnown;
    std::array<char, 32> text{};
    (void)std::snprintf(text.data(), text.size(), "%.1f", window->size());
    return text.data();
}

[[nodiscard]] Result targetsTable(const DirectBackend &backend, bool leavingOnly)
{
    Result result;
    result.columns = {"service",    "target",    "domain",    "state",    "slots",
                      "running",    "opening",   "held",      "window",   "flows",
                      "unanswered", "reporters", "answer-ms", "heard-ms", "address"};
    const DirectNode &node = *backend.node;
    std::map<std::string, Row> sorted;
    for (const auto &[id, target] : node.router().targets().all()) {
        const DirectTargetState state = node.router().targets().state(target);
        if (leavingOnly && !isLeaving(state))
            continue;
        const std::string service = serviceName(node, target.entry.service);
        const Duration answer{static_cast<Duration::rep>(target.answerMicros)};
        sorted[service + '/' + target.entry.name]
            = {service,
               target.entry.name,
               target.entry.domain,
               std::string{nameOf(state)},
               text(target.entry.slots),
               text(target.inFlight),
               text(target.opening),
               text(target.held),
               windowOf(node, id),
               text(target.openFlows),
               text(target.unanswered),
               text(node.evidence().silences(id).size()),
               target.answerMicros > 0 ? milliseconds(answer) : NotKnown,
               target.heardAt ? milliseconds(backend.now - *target.heardAt) : NotKnown,
               toString(target.entry.address)};
    }
    for (auto &[key, row] : sorted)
        result.rows.push_back(std::move(row));
    return result;
}

[[nodiscard]] Result servicesTable(const DirectBackend &backend)
{
    const RouteTable &routes = backend.node->router().routes();
    std::map<ServiceId, std::size_t> routesOf;
    std::map<ServiceId, std::size_t> targetsOf;
    std::map<ServiceId, std::size_t> healthyOf;
    for (const auto &[address, route] : routes.routes) {
        for (const RouteShare &share : route.shares)
            ++routesOf[share.service];
    }
    const DirectTargets &targets = backend.node->router().targets();
    for (const auto &[id, target] : targets.all()) {
        ++targetsOf[target.entry.service];
        healthyOf[target.entry.service] += targets.state(target) == DirectTargetState::Healthy;
    }
    Result result;
    result.columns = {"service", "routes", "targets", "trusted"};
    for (const auto &[service, name] : routes.serviceNames)
        result.rows.push_back(
            {name, text(routesOf[service]), text(targetsOf[service]), text(healthyOf[service])});
    return result;
}

[[nodiscard]] Result daemonsTable(const DirectBackend &backend)
{
    Result result;
    result.columns = {"daemon",    "domain", "role",     "address", "ready",
                      "followers", "config", "revision", "fresh",   "age-ms"};
    const DirectNode &node = *backend.node;
    const auto age = node.viewAge();
    result.rows.push_back({backend.name, backend.domain, node.isRoot() ? "root" : "follower",
                           toString(backend.peers), node.ready() ? "yes" : "no",
                           text(node.relay().followers()), text(node.router().routes().version),
                           text(node.version().value()), node.fresh() ? "yes" : "no",
                           age ? milliseconds(*age) : NotKnown});
    for (const Endpoint &root : node.roots()) {
        if (root == backend.peers)
            continue;
        result.rows.push_back({NotKnown, NotKnown, "root", toString(root), NotKnown, NotKnown,
                               NotKnown, NotKnown, NotKnown, NotKnown});
    }
    return result;
}

/// \return Why the daemon's view may be stale; NotKnown if it is fresh.
[[nodiscard]] std::string staleReason(const DirectNode &node)
{
    if (node.fresh())
        return NotKnown;
    if (!node.ready())
        return "has no complete view yet";
    switch (node.peers().state()) {
    case PeerState::Waiting:
        return "its source is waiting for the store";
    case PeerState::Stale:
        return "no daemon that it reaches is connected to the store";
    case PeerState::Lost:
        return "no daemon answers its queries";
    case PeerState::Fresh:
        break;
    }
    return "no recent answer";
}

[[nodiscard]] Result distributionTable(const DirectBackend &backend)
{
    Result result;
    result.columns = {"collection", "revision",  "objects", "age-ms", "from",
                      "depth",      "followers", "sent-on", "late"};
    const DirectNode &node = *backend.node;
    const PeerFeed &peers = node.peers();
    for (const DirectNode::CollectionStatus &each : node.collections()) {
        const std::string source
            = peers.source().isNull() ? std::string{NotKnown} : toString(peers.source());
        const std::size_t depth = each.storeConnected ? 0 : peers.lineage().path.size();
        result.rows.push_back({std::string{each.name}, text(each.version.value()),
                               text(each.objects), each.age ? milliseconds(*each.age) : NotKnown,
                               each.storeConnected ? "store" : source, text(depth),
                               text(node.relay().followers()), text(node.relay().redirected()),
                               staleReason(node)});
    }
    return result;
}

[[nodiscard]] Result domainsTable(const DirectBackend &backend)
{
    struct Counts
    {
        std::size_t targets = 0;
        std::size_t takesFlows = 0;
        std::uint64_t flows = 0;
    };
    const DirectTargets &targets = backend.node->router().targets();
    std::map<std::string, Counts> domains;
    for (const auto &[domain, since] : targets.evacuatedDomains())
        domains[domain];
    for (const auto &[id, target] : targets.all()) {
        Counts &counts = domains[target.entry.domain];
        const DirectTargetState state = targets.state(target);
        counts.targets += state != DirectTargetState::Gone;
        counts.takesFlows += state == DirectTargetState::Healthy;
        counts.flows += target.openFlows;
    }
    Result result;
    result.columns = {"domain", "state", "for-ms", "targets", "trusted", "flows"};
    for (const auto &[domain, counts] : domains) {
        const auto evacuated = targets.evacuatedDomains().find(domain);
        const bool isEvacuated = evacuated != targets.evacuatedDomains().end();
        result.rows.push_back(
            {domain, isEvacuated ? "evacuated" : "in-use",
             isEvacuated ? milliseconds(backend.now - evacuated->second) : NotKnown,
             text(counts.targets), text(counts.takesFlows), text(counts.flows)});
    }
    return result;
}

[[nodiscard]] Result tableOf(const DirectBackend &backend, language::Table table)
{
    switch (table) {
    case language::Table::Services:
        return servicesTable(backend);
    case language::Table::Targets:
        return targetsTable(backend, false);
    case language::Table::Drains:
        return targetsTable(backend, true);
    case language::Table::Daemons:
        return daemonsTable(backend);
    case language::Table::Distribution:
        return distributionTable(backend);
    case language::Table::Domains:
        return domainsTable(backend);
    case language::Table::Load:
        return loadTable(backend);
    case language::Table::Changes:
        break;
    }
    return Result{
        Status::Refused, {"changes are kept in the platform's store, not by this daemon"}, {}, {}};
}

/// \brief Executes one statement; one that isn't supported here is refused with a message that says
/// where to go instead.
struct Executor
{
    const DirectBackend &backend;

    Result operator()(const language::Show &show) const
    {
        return language::filterRows(tableOf(backend, show.table), show.filters);
    }
    Result operator()(const language::ShowRevision &) const { return daemonsTable(backend); }
    Result operator()(const language::ShowMetrics &) const
    {
        return {Status::Done, {backend.metrics()}, {}, {}};
    }
    Result operator()(const language::Help &) const
    {
        return {Status::Done, {std::string{language::helpText()}}, {}, {}};
    }
    Result operator()(const language::ExplainFlow &) const
    {
        return {
            Status::Refused,
            {"flows are explained from the logs: baobabctl explain flow 'CALLER>SERVICE' < LOGS"},
            {},
            {}};
    }
    template <typename Other>
    Result operator()(const Other &) const
    {
        return {Status::Refused,
                {"with direct forwarding, routes, targets and evacuations are changed in the "
                 "platform's store; "
                 "this daemon only shows what is in force"},
                {},
                {}};
    }
};

} // namespace

Result executeDirect(const DirectBackend &backend, const std::string &text)
{
    const auto parsed = language::parse(text);
    if (const auto *error = std::get_if<language::SyntaxError>(&parsed))
        return {Status::Usage, {toString(*error)}, {}, {}};
    return std::visit(Executor{backend}, std::get<language::Statement>(parsed));
}

} // namespace baobabtrail::daemon
