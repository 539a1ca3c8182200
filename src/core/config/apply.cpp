#include "core/config/apply.h"

#include "core/config/record_codec.h"
#include "core/config/validate.h"

#include <algorithm>
#include <unordered_map>

namespace baobabtrail {

namespace {

/// \brief Applies the commands of one record in order; a refused command changes nothing, and the
/// ones after it are still checked.
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
        addEffect(known ? "key changes" : "is declared");
    }

    void operator()(const DeclareService &command)
    {
        const ServiceId id = serviceId(command.service.workspace, command.service.service);
        // Findings say tenant for workspace, as the operators' command language does.
        if (!config().workspaces.contains(command.service.workspace))
            return addFinding("unknown tenant \"" + command.service.workspace + '"');
        if (const ServiceConfig *holder = config().service(id)) {
            const bool same = holder->workspace == command.service.workspace
                              && holder->name == command.service.service;
            return addFinding(same ? "is declared already"
                                   : "has the id of " + holder->workspace + '/' + holder->name
                                         + "; choose another name");
        }
        config().services[id] = ServiceConfig{
            id, command.service.workspace, command.service.service, command.limits, {}};
        addEffect("is declared");
    }

    void operator()(const SetLimits &command)
    {
        ServiceConfig *service = findService(command.service);
        if (!service)
            return;
        service->limits = command.limits;
        addEffect("limits change");
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
            addEffect("is added, active");
    }

    void operator()(const DrainTarget &command)
    {
        changeState(command.target, TargetState::Draining, {TargetState::Active});
    }
    void operator()(const UndrainTarget &command)
    {
        changeState(command.target, TargetState::Active, {TargetState::Draining});
    }
    void operator()(const RetireTarget &command)
    {
        changeState(command.target, TargetState::Retiring,
                    {TargetState::Active, TargetState::Draining, TargetState::Cut});
    }
    void operator()(const CutTarget &command)
    {
        changeState(command.target, TargetState::Cut,
                    {TargetState::Active, TargetState::Draining, TargetState::Retiring});
    }

    void operator()(const RemoveTarget &command)
    {
        TargetConfig *target = findTarget(command.target);
        if (!target)
            return;
        if (target->state != TargetState::Retiring)
            return addFinding("is " + std::string{toString(target->state)} + ", expected retiring");
        // The owner that found the retiring target empty may be slow. Meanwhile a new target can
        // have been added under the same name, which must not be removed.
        if (target->generation != command.generation)
            return addFinding("is of generation " + std::to_string(target->generation.value())
                              + ", not " + std::to_string(command.generation.value()));
        const ServiceId service = serviceIdOf(command.target.service);
        quarantine(*target, service, m_record.unixSeconds);
        config().services[service].targets.erase(target->id);
        addEffect("is removed; its addresses are in quarantine");
    }

    void operator()(const SetWeight &command)
    {
        TargetConfig *target = findTarget(command.target);
        if (!target)
            return;
        addEffect("weight " + std::to_string(target->weight) + " → "
                  + std::to_string(command.weight));
        target->weight = command.weight;
    }

    void operator()(const MoveTarget &command)
    {
        TargetConfig *target = findTarget(command.target);
        if (!target)
            return;
        // A target in any other state may hold flows, which the move would break unrequested.
        if (target->state != TargetState::Cut)
            return addFinding("is " + std::string{toString(target->state)}
                              + ": only a target that is cut can be moved; retire it, and add its"
                                " addresses to the other service once it is removed");
        const ServiceId from = serviceIdOf(command.target.service);
        TargetConfig moved = *target;
        // The cut ended its flows, so the quarantine counts from the time of the cut.
        quarantine(*target, from, target->stateSinceUnixSeconds);
        config().services[from].targets.erase(target->id);
        moved.state = TargetState::Active;
        if (addTarget(command.to, std::move(moved)))
            addEffect("moves to " + toString(command.to));
    }

    void operator()(const RotateKeys &command)
    {
        // Daemons accept only the epochs adjacent to their own: after a step of two they would
        // refuse the tokens of daemons that are one revision behind.
        const std::uint32_t expected = config().keyEpoch.value() + 1;
        if (command.epoch.value() != expected)
            return addFinding("expected epoch " + std::to_string(expected));
        config().keyEpoch = command.epoch;
        addEffect("keys rotate");
    }

    void operator()(const EvacuateDomain &command)
    {
        if (config().evacuations.contains(command.domain))
            return addFinding("is evacuated already");
        if (setEvacuated(command.domain, true) == 0)
            return addFinding("no target is in it");
        config().evacuations[command.domain] = {m_record.revision, m_record.unixSeconds};
        addEffect("its targets get no new work");
    }

    void operator()(const RestoreDomain &command)
    {
        if (config().evacuations.erase(command.domain) == 0)
            return addFinding("is not evacuated");
        (void)setEvacuated(command.domain, false);
        addEffect("its targets get new work again");
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
        addFinding("the key of tenant \"" + m_record.workspace + "\" may not change this");
    }

    void addFinding(std::string what) { m_result.findings.push_back({m_place, std::move(what)}); }
    void addEffect(const std::string &what) { m_result.effects.push_back(m_name + ": " + what); }

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
        addFinding("unknown service \"" + toString(name) + '"');
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
        addFinding("unknown target \"" + toString(name) + '"');
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
            addFinding(taken->second.name == target.name
                           ? "is a target already"
                           : "has the id of target " + taken->second.name
                                 + "; choose another name");
            return false;
        }
        if (!addressesAreFree(target))
            return false;
        release(target, service->id);
        target.generation = Generation{m_record.revision.value()};
        target.evacuated = config().evacuations.contains(target.domain);
        target.stateSince = m_record.revision;
        target.stateSinceUnixSeconds = m_record.unixSeconds;
        addUse(target, toString(name) + '/' + target.name);
        service->targets.emplace(target.id, std::move(target));
        return true;
    }

    void changeState(const TargetName &name, TargetState to,
                     std::initializer_list<TargetState> from)
    {
        TargetConfig *target = findTarget(name);
        if (!target)
            return;
        const std::string was{toString(target->state)};
        if (target->state == to)
            return addFinding("is " + was + " already");
        if (std::find(from.begin(), from.end(), target->state) == from.end())
            return addFinding("is " + was + " and can't become " + std::string{toString(to)});
        target->state = to;
        target->stateSince = m_record.revision;
        target->stateSinceUnixSeconds = m_record.unixSeconds;
        addEffect(was + " → " + std::string{toString(to)});
    }

    /// \brief Indexes the addresses in use, so that a record that adds many targets doesn't scan
    /// all targets for each. Built on first use.
    void buildAddressUses()
    {
        if (m_addressUsesBuilt)
            return;
        m_addressUsesBuilt = true;
        for (const auto &[id, service] : config().services) {
            for (const auto &[targetId, target] : service.targets)
                addUse(target, service.workspace + '/' + service.name + '/' + target.name);
        }
    }

    void addUse(const TargetConfig &target, const std::string &name)
    {
        m_addressUses[target.flows] = name;
        m_addressUses[target.requests] = name;
    }

    [[nodiscard]] bool addressesAreFree(const TargetConfig &target)
    {
        buildAddressUses();
        bool isFree = true;
        for (const Endpoint &address : {target.flows, target.requests}) {
            const auto user = m_addressUses.find(address);
            if (user == m_addressUses.end())
                continue;
            addFinding("address " + toString(address) + " is in use by " + user->second);
            isFree = false;
        }
        return isFree;
    }

    void quarantine(const TargetConfig &target, ServiceId service, std::int64_t begin)
    {
        buildAddressUses();
        for (const Endpoint &address : {target.flows, target.requests}) {
            m_addressUses.erase(address);
            const auto known
                = [&](const QuarantinedAddress &entry) { return entry.address == address; };
            if (std::any_of(config().quarantine.begin(), config().quarantine.end(), known))
                continue;
            config().quarantine.push_back(
                {address, service, target.stateSince, begin + m_record.quarantineSeconds});
        }
    }

    /// \brief Removes a target's addresses from quarantine, and reports those that another service
    /// used before.
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
    std::unordered_map<Endpoint, std::string> m_addressUses;
    bool m_addressUsesBuilt = false;
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
