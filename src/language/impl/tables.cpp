#include "language/impl/tables.h"

#include "core/config/apply.h"

#include <iomanip>
#include <map>
#include <sstream>

namespace baobabtrail::language::impl {

namespace {

constexpr const char *NotKnownHere = "-";

[[nodiscard]] std::string oneDecimal(double value)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(1) << value;
    return out.str();
}

template <typename Value>
[[nodiscard]] std::string text(Value value)
{
    return std::to_string(value);
}

template <typename Tag, typename Value>
[[nodiscard]] std::string text(StrongId<Tag, Value> id)
{
    return std::to_string(id.value());
}

using StatusById = std::map<TargetId, TargetStatus>;

[[nodiscard]] StatusById statusById(const Backend &backend)
{
    StatusById byId;
    for (const TargetStatus &status : backend.targetStatus())
        byId.emplace(status.target, status);
    return byId;
}

[[nodiscard]] std::string ownerName(const View &view, const TargetConfig &target)
{
    if (target.domain != view.domain)
        return "in " + target.domain;
    const Member *owner = view.ownerOf(target.id);
    return owner ? text(owner->id) : NotKnownHere;
}

using Row = std::vector<std::string>;

/// \brief Makes one row for each target that \a shown selects: its name, domain and state, the
/// cells that \a declared adds from its configuration, its owner, and the cells that \a seen adds
/// from its status.
/// \param seenColumns Number of cells that \a seen adds; "-" for targets of other owners.
template <typename Shown, typename Declared, typename Seen>
[[nodiscard]] Rows targetRows(const Backend &backend, std::size_t seenColumns, Shown shown,
                              Declared declared, Seen seen)
{
    Rows rows;
    const StatusById statuses = statusById(backend);
    const ConfigPtr config = backend.config();
    // Fetched once for all rows, since each call builds a new view from all known members.
    const ViewPtr view = backend.view();
    for (const auto &[serviceId, service] : config->services) {
        for (const auto &[id, target] : service.targets) {
            if (!shown(target))
                continue;
            Row row{service.workspace, service.name, target.name, target.domain,
                    std::string(baobabtrail::toString(target.state))};
            declared(row, target);
            row.push_back(ownerName(*view, target));
            const auto found = statuses.find(id);
            if (found == statuses.end())
                row.insert(row.end(), seenColumns, NotKnownHere);
            else
                seen(row, found->second);
            rows.push_back(std::move(row));
        }
    }
    return rows;
}

/// \return A time in ISO 8601, such as "2026-12-02T20:38:40Z".
[[nodiscard]] std::string utc(std::chrono::sys_seconds when)
{
    const auto day = std::chrono::floor<std::chrono::days>(when);
    const std::chrono::year_month_day date{day};
    const std::chrono::hh_mm_ss time{when - day};
    std::ostringstream out;
    out << std::setfill('0') << static_cast<int>(date.year()) << '-' << std::setw(2)
        << static_cast<unsigned>(date.month()) << '-' << std::setw(2)
        << static_cast<unsigned>(date.day()) << 'T' << std::setw(2) << time.hours().count() << ':'
        << std::setw(2) << time.minutes().count() << ':' << std::setw(2) << time.seconds().count()
        << 'Z';
    return out.str();
}

[[nodiscard]] std::string name(const ServiceName &service)
{
    return service.workspace + '/' + service.service;
}

[[nodiscard]] std::string name(const TargetName &target)
{
    return name(target.service) + '/' + target.target;
}

/// \brief Formats a command for the table of changes, where a workspace is called tenant.
struct CommandText
{
    std::string operator()(const DeclareWorkspace &c) const
    {
        return "declare tenant " + c.workspace;
    }
    std::string operator()(const DeclareService &c) const
    {
        return "declare service " + name(c.service);
    }
    std::string operator()(const AddTarget &c) const { return "add target " + name(c.target); }
    std::string operator()(const DrainTarget &c) const { return "drain target " + name(c.target); }
    std::string operator()(const UndrainTarget &c) const
    {
        return "undrain target " + name(c.target);
    }
    std::string operator()(const RetireTarget &c) const
    {
        return "retire target " + name(c.target);
    }
    std::string operator()(const RemoveTarget &c) const
    {
        return "remove target " + name(c.target);
    }
    std::string operator()(const CutTarget &c) const { return "cut target " + name(c.target); }
    std::string operator()(const SetLimits &c) const { return "set limits " + name(c.service); }
    std::string operator()(const SetWeight &c) const
    {
        return "set weight " + name(c.target) + ' ' + text(c.weight);
    }
    std::string operator()(const MoveTarget &c) const
    {
        return "move target " + name(c.target) + " to " + name(c.to);
    }
    std::string operator()(const RotateKeys &c) const { return "rotate keys to " + text(c.epoch); }
    std::string operator()(const EvacuateDomain &c) const { return "evacuate domain " + c.domain; }
    std::string operator()(const RestoreDomain &c) const { return "restore domain " + c.domain; }
};

} // namespace

std::string toString(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
        return "alive";
    case MemberState::Suspect:
        return "suspect";
    case MemberState::Leaving:
        return "leaving";
    case MemberState::Dead:
        return "dead";
    }
    return "unknown";
}

std::string toString(TargetHealth health)
{
    switch (health) {
    case TargetHealth::Unverified:
        return "unverified";
    case TargetHealth::Good:
        return "good";
    case TargetHealth::Warming:
        return "warming";
    case TargetHealth::Ejected:
        return "ejected";
    case TargetHealth::Mismatch:
        return "mismatch";
    }
    return "unknown";
}

std::string describe(const Command &command)
{
    return std::visit(CommandText{}, command);
}

Result servicesTable(const Backend &backend)
{
    Result result;
    result.columns = {"tenant", "service", "id", "targets", "queue", "share", "retries"};
    const ConfigPtr config = backend.config();
    for (const auto &[id, service] : config->services) {
        result.rows.push_back({service.workspace, service.name, text(id),
                               text(service.targets.size()), text(service.limits.queuePerSlot),
                               text(service.limits.workspaceShare),
                               text(service.limits.retryPercent)});
    }
    return result;
}

Result targetsTable(const Backend &backend)
{
    Result result;
    result.columns = {"tenant", "service", "target", "domain",  "state", "weight",
                      "slots",  "owner",   "health", "running", "limit", "connections"};
    result.rows = targetRows(
        backend, 4, [](const TargetConfig &) { return true; },
        [](Row &row, const TargetConfig &target) {
            row.push_back(text(target.weight));
            row.push_back(text(target.slots));
        },
        [](Row &row, const TargetStatus &status) {
            row.push_back(toString(status.health));
            row.push_back(text(status.running));
            row.push_back(oneDecimal(status.concurrencyLimit));
            row.push_back(text(status.reported.connections));
        });
    return result;
}

Result daemonsTable(const Backend &backend)
{
    Result result;
    result.columns = {"daemon", "domain", "state", "revision", "address"};
    const ViewPtr view = backend.view();
    const auto add = [&result](const Member &member) {
        result.rows.push_back({text(member.id), member.domain, toString(member.state),
                               text(member.revision), baobabtrail::toString(member.address)});
    };
    for (const Member &member : view->members)
        add(member);
    for (const auto &[domain, members] : view->remote) {
        for (const Member &member : members)
            add(member);
    }
    return result;
}

Result changesTable(const Backend &backend)
{
    Result result;
    result.columns = {"revision", "change", "tenant", "author", "when", "commands"};
    for (const ChangeRecord &record : backend.recentChanges()) {
        std::string commands;
        for (const Command &command : record.commands) {
            if (!commands.empty())
                commands += "; ";
            commands += describe(command);
        }
        result.rows.push_back(
            {text(record.revision), record.changeId,
             record.workspace.empty() ? NotKnownHere : record.workspace, record.author,
             utc(std::chrono::sys_seconds{std::chrono::seconds{record.unixSeconds}}), commands});
    }
    return result;
}

Result drainsTable(const Backend &backend)
{
    Result result;
    result.columns = {"tenant", "service",     "target",  "domain",  "state",
                      "owner",  "connections", "running", "waiting", "report-age"};
    result.rows = targetRows(
        backend, 4,
        [](const TargetConfig &target) {
            return target.state == TargetState::Draining || target.state == TargetState::Retiring;
        },
        [](Row &, const TargetConfig &) {},
        [](Row &row, const TargetStatus &status) {
            const auto age
                = std::chrono::duration_cast<std::chrono::milliseconds>(status.reportAge);
            row.push_back(text(status.reported.connections));
            row.push_back(text(status.running));
            row.push_back(text(status.waiting));
            row.push_back(text(age.count()) + " ms");
        });
    return result;
}

Result domainsTable(const Backend &backend)
{
    struct Counts
    {
        std::size_t targets = 0;
        std::size_t takesWork = 0;
        std::uint64_t connections = 0;
        std::uint64_t running = 0;
    };
    const ConfigPtr config = backend.config();
    const StatusById statuses = statusById(backend);
    std::map<std::string, Counts> domains;
    for (const auto &[serviceId, service] : config->services) {
        for (const auto &[id, target] : service.targets) {
            Counts &counts = domains[target.domain];
            ++counts.targets;
            counts.takesWork += target.takesWork();
            const auto status = statuses.find(id);
            if (status == statuses.end())
                continue;
            counts.connections += status->second.reported.connections;
            counts.running += status->second.running;
        }
    }
    Result result;
    result.columns
        = {"domain", "state", "since", "when", "targets", "takes-work", "connections", "running"};
    for (const auto &[domain, counts] : domains) {
        const auto evacuation = config->evacuations.find(domain);
        const bool evacuated = evacuation != config->evacuations.end();
        const std::string when = evacuated ? utc(std::chrono::sys_seconds{
                                     std::chrono::seconds{evacuation->second.sinceUnixSeconds}})
                                           : NotKnownHere;
        result.rows.push_back({domain, evacuated ? "evacuated" : "in-use",
                               evacuated ? text(evacuation->second.since) : NotKnownHere, when,
                               text(counts.targets), text(counts.takesWork),
                               text(counts.connections), text(counts.running)});
    }
    return result;
}

} // namespace baobabtrail::language::impl
