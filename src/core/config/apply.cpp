#include "core/config/apply.h"

#include "core/config/record_codec.h"
#include "core/config/validate.h"

#include <algorithm>
#include <unordered_map>

namespace baobabtrail {

namespace {

/// \brief Applies the commands of one record in order; a command that is refused changes nothing.
class RecordApplier
{
public:
    RecordApplier(const Config &config, const ChangeRecord &record)
        : m_record(record)
    {
        m_result.next = config;
    }

    [[nodiscard]] ApplyResult run()
    {
        checkRecord(m_record, m_result.findings);
        if (m_record.revision.value() != config().revision.value() + 1)
            m_result.findings.push_back(
                {"revision", "is not the one after " + std::to_string(config().revision.value())});
        config().revision = m_record.revision;
        dropExpiredQuarantine();
        for (std::size_t i = 0; i < m_record.commands.size(); ++i)
            applyCommand(i);
        return std::move(m_result);
    }

    void operator()(const DeclareWorkspace &command)
    {
        const bool known = config().workspaces.contains(command.workspace);
        config().workspaces[command.workspace]
            = WorkspaceConfig{command.workspace, command.keyHash};
        effect(known ? "key changes" : "is declared");
    }

    void operator()(const DeclareService &command)
    {
        const ServiceId id = serviceId(command.service.workspace, command.service.service);
        // Findings call workspaces tenants, as the operators' language does.
        if (!config().workspaces.contains(command.service.workspace))
            return add("unknown tenant \"" + command.service.workspace + '"');
        if (const ServiceConfig *holder = config().service(id)) {
            const bool same = holder->workspace == command.service.workspace
                              && holder->name == command.service.service;
            return add(same ? "is declared already"
                            : "has the id of " + holder->workspace + '/' + holder->name
                                  + "; choose another name");
        }
        config().services[id] = ServiceConfig{
            id, command.service.workspace, command.service.service, command.limits, {}};
        effect("is declared");
    }

    void operator()(const SetLimits &command)
    {
        ServiceConfig *service = findService(command.service);
        if (!service)
            return;
        service->limits = command.limits;
        effect("limits change");
    }

    void operator()(const AddTarget &command)
    {
        TargetConfig target;
        target.name = command.target.target;
        target.domain = command.domain;
        target.flows = command.flows;
        target.requests = command.requests;
        target.slots = command.slots;
        target.weight = command.weight;
        if (addTarget(command.target.service, std::move(target)))
            effect("is added, active");
    }

    void operator()(const DrainTarget &command)
    {
        change(command.target, TargetState::Draining, {TargetState::Active});
    }
    void operator()(const UndrainTarget &command)
    {
        change(command.target, TargetState::Active, {TargetState::Draining});
    }
    void operator()(const RetireTarget &command)
    {
        change(command.target, TargetState::Retiring,
               {TargetState::Active, TargetState::Draining, TargetState::Cut});
    }
    void operator()(const CutTarget &command)
    {
        change(command.target, TargetState::Cut,
               {TargetState::Active, TargetState::Draining, TargetState::Retiring});
    }

    void operator()(const RemoveTarget &command)
    {
        TargetConfig *target = findTarget(command.target);
        if (!target)
            return;
        if (target->state != TargetState::Retiring)
            return add("is " + std::string{toString(target->state)} + ", expected retiring");
        // The owner that found the old target empty may be slow: meanwhile the name can have been
        // declared anew, and the new target is in use.
        if (target->generation != command.generation)
            return add("is of generation " + std::to_string(target->generation.value()) + ", not "
                       + std::to_string(command.generation.value()));
        const ServiceId service = serviceIdOf(command.target.service);
        quarantine(*target, service, m_record.unixSeconds);
        config().services[service].targets.erase(target->id);
        effect("is removed; its addresses are in quarantine");
    }

    void operator()(const SetWeight &command)
    {
        TargetConfig *target = findTarget(command.target);
        if (!target)
            return;
        effect("weight " + std::to_string(target->weight) + " → " + std::to_string(command.weight));
        target->weight = command.weight;
    }

    void operator()(const MoveTarget &command)
    {
        TargetConfig *target = findTarget(command.target);
        if (!target)
            return;
        // Any other state may hold flows, which would break without anyone having asked for it.
        if (target->state != TargetState::Cut)
            return add("is " + std::string{toString(target->state)}
                       + ": only a target that is cut can be moved; retire it, and add its"
                         " addresses to the other service once it is removed");
        const ServiceId from = serviceIdOf(command.target.service);
        TargetConfig moved = *target;
        // The cut ended its flows, so the time counts from there.
        quarantine(*target, from, target->stateSinceUnixSeconds);
        config().services[from].targets.erase(target->id);
        moved.state = TargetState::Active;
        if (addTarget(command.to, std::move(moved)))
            effect("moves to " + toString(command.to));
    }

    void operator()(const RotateKeys &command)
    {
        // Daemons accept the epochs next to their own only: a step of two would refuse the tokens
        // of daemons that are a revision behind.
        const std::uint32_t expected = config().keyEpoch.value() + 1;
        if (command.epoch.value() != expected)
            return add("expected epoch " + std::to_string(expected));
        config().keyEpoch = command.epoch;
        effect("keys rotate");
    }

    void operator()(const EvacuateDomain &command)
    {
        if (config().evacuations.contains(command.domain))
            return add("is evacuated already");
        if (setEvacuated(command.domain, true) == 0)
            return add("no target is in it");
        config().evacuations[command.domain] = {m_record.revision, m_record.unixSeconds};
        effect("its targets get no new work");
    }

    void operator()(const RestoreDomain &command)
    {
        if (config().evacuations.erase(command.domain) == 0)
            return add("is not evacuated");
        (void)setEvacuated(command.domain, false);
        effect("its targets get new work again");
    }

private:
    [[nodiscard]] Config &config() noexcept { return m_result.next; }

    /// \return How many targets are in the failure domain.
    std::size_t setEvacuated(const std::string &domain, bool evacuated)
    {
        std::size_t count = 0;
        for (auto &[id, service] : config().services) {
            for (auto &[targetId, target] : service.targets) {
                if (target.domain != domain)
                    continue;
                target.evacuated = evacuated;
                ++count;
            }
        }
        return count;
    }

    void applyCommand(std::size_t index)
    {
        const Command &command = m_record.commands[index];
        m_name = describe(command);
        m_place = "command " + std::to_string(index + 1) + " (" + m_name + ')';
        const std::size_t before = m_result.findings.size();
        checkCommand(command, m_place, m_result.findings);
        checkWorkspace(command);
        if (m_result.findings.size() == before)
            std::visit(*this, command);
    }

    void checkWorkspace(const Command &command)
    {
        if (m_record.workspace.empty())
            return;
        const bool own = workspaceOf(command) == m_record.workspace;
        const auto *move = std::get_if<MoveTarget>(&command);
        if (own && (!move || move->to.workspace == m_record.workspace))
            return;
        add("the key of tenant \"" + m_record.workspace + "\" may not change this");
    }

    void add(std::string what) { m_result.findings.push_back({m_place, std::move(what)}); }
    void effect(const std::string &what) { m_result.effects.push_back(m_name + ": " + what); }

    [[nodiscard]] static ServiceId serviceIdOf(const ServiceName &name)
    {
        return serviceId(name.workspace, name.service);
    }

    [[nodiscard]] ServiceConfig *findService(const ServiceName &name)
    {
        const auto found = config().services.find(serviceIdOf(name));
        const bool same = found != config().services.end()
                          && found->second.workspace == name.workspace
                          && found->second.name == name.service;
        if (same)
            return &found->second;
        add("unknown service \"" + toString(name) + '"');
        return nullptr;
    }

    [[nodiscard]] TargetConfig *findTarget(const TargetName &name)
    {
        ServiceConfig *service = findService(name.service);
        if (!service)
            return nullptr;
        const auto found = service->targets.find(targetId(service->id, name.target));
        if (found != service->targets.end() && found->second.name == name.target)
            return &found->second;
        add("unknown target \"" + toString(name) + '"');
        return nullptr;
    }

    [[nodiscard]] bool addTarget(const ServiceName &name, TargetConfig target)
    {
        ServiceConfig *service = findService(name);
        if (!service)
            return false;
        target.id = targetId(service->id, target.name);
        const auto taken = service->targets.find(target.id);
        if (taken != service->targets.end()) {
            add(taken->second.name == target.name
                    ? "is a target already"
                    : "has the id of target " + taken->second.name + "; choose another name");
            return false;
        }
        if (!addressesAreFree(target))
            return false;
        release(target, service->id);
        target.generation = Generation{m_record.revision.value()};
        target.evacuated = config().evacuations.contains(target.domain);
        target.stateSince = m_record.revision;
        target.stateSinceUnixSeconds = m_record.unixSeconds;
        noteUse(target, toString(name) + '/' + target.name);
        service->targets.emplace(target.id, std::move(target));
        return true;
    }

    void change(const TargetName &name, TargetState to, std::initializer_list<TargetState> from)
    {
        TargetConfig *target = findTarget(name);
        if (!target)
            return;
        const std::string was{toString(target->state)};
        if (target->state == to)
            return add("is " + was + " already");
        if (std::find(from.begin(), from.end(), target->state) == from.end())
            return add("is " + was + " and can't become " + std::string{toString(to)});
        target->state = to;
        target->stateSince = m_record.revision;
        target->stateSinceUnixSeconds = m_record.unixSeconds;
        effect(was + " → " + std::string{toString(to)});
    }

    /// Built when the first target is added: a record of many targets would otherwise walk all
    /// targets once for each.
    void buildUses()
    {
        if (m_usesBuilt)
            return;
        m_usesBuilt = true;
        for (const auto &[id, service] : config().services) {
            for (const auto &[targetId, target] : service.targets)
                noteUse(target, service.workspace + '/' + service.name + '/' + target.name);
        }
    }

    void noteUse(const TargetConfig &target, const std::string &name)
    {
        m_uses[target.flows] = name;
        m_uses[target.requests] = name;
    }

    [[nodiscard]] bool addressesAreFree(const TargetConfig &target)
    {
        buildUses();
        bool isFree = true;
        for (const Endpoint &address : {target.flows, target.requests}) {
            const auto user = m_uses.find(address);
            if (user == m_uses.end())
                continue;
            add("address " + toString(address) + " is in use by " + user->second);
            isFree = false;
        }
        return isFree;
    }

    void quarantine(const TargetConfig &target, ServiceId service, std::int64_t begin)
    {
        buildUses();
        for (const Endpoint &address : {target.flows, target.requests}) {
            m_uses.erase(address);
            const auto known
                = [&](const QuarantinedAddress &entry) { return entry.address == address; };
            if (std::any_of(config().quarantine.begin(), config().quarantine.end(), known))
                continue;
            config().quarantine.push_back(
                {address, service, target.stateSince, begin + m_record.quarantineSeconds});
        }
    }

    /// Takes a target's addresses out of quarantine, and notes those that another service left.
    void release(const TargetConfig &target, ServiceId service)
    {
        const auto isOf = [&](const QuarantinedAddress &entry) {
            return entry.address == target.flows || entry.address == target.requests;
        };
        for (const QuarantinedAddress &entry : config().quarantine) {
            const bool over = entry.untilUnixSeconds <= m_record.unixSeconds;
            if (isOf(entry) && entry.service != service && !over)
                m_result.quarantined.push_back({m_place, entry.address, entry.since});
        }
        std::erase_if(config().quarantine, isOf);
    }

    void dropExpiredQuarantine()
    {
        std::erase_if(config().quarantine, [&](const QuarantinedAddress &entry) {
            return entry.untilUnixSeconds <= m_record.unixSeconds;
        });
    }

    const ChangeRecord &m_record;
    ApplyResult m_result;
    std::string m_name;
    std::string m_place;
    std::unordered_map<Endpoint, std::string> m_uses;
    bool m_usesBuilt = false;
};

} // namespace

std::string_view toString(TargetState state) noexcept
{
    switch (state) {
    case TargetState::Active:
        return "active";
    case TargetState::Draining:
        return "draining";
    case TargetState::Retiring:
        return "retiring";
    case TargetState::Cut:
        return "cut";
    }
    return "unknown";
}

ApplyResult applyRecord(const Config &config, const ChangeRecord &record)
{
    return RecordApplier{config, record}.run();
}

} // namespace baobabtrail
