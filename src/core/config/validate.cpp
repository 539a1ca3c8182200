#include "core/config/validate.h"

#include <algorithm>

namespace baobabtrail {

namespace {

constexpr std::size_t MaxKeyHashLength = 256;
constexpr std::uint32_t MaxQueuePerSlot = 1000;
constexpr std::uint32_t MaxWorkspaceShare = 10000;
constexpr std::uint32_t MaxRetryPercent = 100;

[[nodiscard]] bool isLetterOrDigit(char c) noexcept
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
}

[[nodiscard]] bool isHexDigit(char c) noexcept
{
    return (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F') || (c >= '0' && c <= '9');
}

class CommandChecker
{
public:
    CommandChecker(const std::string &place, Findings &findings)
        : m_place(place)
        , m_findings(findings)
    {
    }

    void operator()(const DeclareWorkspace &command)
    {
        // Findings say tenant for workspace, as the operators' command language does.
        name("tenant", command.workspace);
        const std::string &hash = command.keyHash;
        if (hash.empty() || hash.size() > MaxKeyHashLength)
            addFinding("key hash has " + std::to_string(hash.size()) + " digits, expected 1 to "
                       + std::to_string(MaxKeyHashLength));
        if (!std::all_of(hash.begin(), hash.end(), isHexDigit))
            addFinding("key hash is not hexadecimal");
    }
    void operator()(const DeclareService &command)
    {
        service(command.service);
        limits(command.limits);
    }
    void operator()(const SetLimits &command)
    {
        service(command.service);
        limits(command.limits);
    }
    void operator()(const AddTarget &command)
    {
        target(command.target);
        name("failure domain", command.domain);
        endpoint("flows", command.flows);
        endpoint("requests", command.requests);
        range("slots", command.slots, 1, MaxSlots);
        range("weight", command.weight, 0, MaxWeight);
    }
    void operator()(const SetWeight &command)
    {
        target(command.target);
        range("weight", command.weight, 0, MaxWeight);
    }
    void operator()(const MoveTarget &command)
    {
        target(command.target);
        service(command.to);
        if (command.to == command.target.service)
            addFinding("is a target of " + command.to.service + " already");
    }
    void operator()(const RotateKeys &command)
    {
        if (command.epoch.isNull())
            addFinding("epoch 0 is not a key epoch");
    }
    void operator()(const EvacuateDomain &command) { name("failure domain", command.domain); }
    void operator()(const RestoreDomain &command) { name("failure domain", command.domain); }
    template <typename T>
    void operator()(const T &command)
    {
        target(command.target);
    }

private:
    void addFinding(std::string what) { m_findings.push_back({m_place, std::move(what)}); }

    void name(const char *kind, const std::string &text)
    {
        if (const auto problem = checkName(text))
            addFinding(std::string{kind} + " name \"" + text + "\" " + *problem);
    }
    void service(const ServiceName &service)
    {
        name("tenant", service.workspace);
        name("service", service.service);
    }
    void target(const TargetName &target)
    {
        service(target.service);
        name("target", target.target);
    }
    void range(const char *field, std::uint32_t value, std::uint32_t low, std::uint32_t high)
    {
        if (value >= low && value <= high)
            return;
        addFinding(std::string{field} + " is " + std::to_string(value) + ", expected "
                   + std::to_string(low) + " to " + std::to_string(high));
    }
    void limits(const ServiceLimits &limits)
    {
        range("queue per slot", limits.queuePerSlot, 0, MaxQueuePerSlot);
        range("tenant share", limits.workspaceShare, 1, MaxWorkspaceShare);
        range("retry percent", limits.retryPercent, 0, MaxRetryPercent);
    }
    void endpoint(const char *field, const Endpoint &endpoint)
    {
        if (endpoint.isNull() || endpoint.address == 0)
            addFinding(std::string{field} + " address is missing");
    }

    const std::string &m_place;
    Findings &m_findings;
};

} // namespace

std::optional<std::string> checkName(std::string_view name)
{
    if (name.empty())
        return "is empty";
    if (name.size() > MaxNameLength)
        return "is longer than " + std::to_string(MaxNameLength) + " characters";
    if (!isLetterOrDigit(name.front()))
        return "does not begin with a letter or digit";
    const auto allowed
        = [](char c) { return isLetterOrDigit(c) || c == '-' || c == '_' || c == '.'; };
    const auto bad = std::find_if_not(name.begin(), name.end(), allowed);
    if (bad != name.end())
        return "has a character other than letters, digits, '-', '_' and '.' at position "
               + std::to_string(bad - name.begin() + 1);
    return std::nullopt;
}

void checkCommand(const Command &command, const std::string &place, Findings &findings)
{
    std::visit(CommandChecker{place, findings}, command);
}

void checkRecord(const ChangeRecord &record, Findings &findings)
{
    if (record.changeId.empty())
        findings.push_back({"change id", "is empty"});
    if (record.changeId.size() > MaxChangeIdLength)
        findings.push_back(
            {"change id", "is longer than " + std::to_string(MaxChangeIdLength) + " characters"});
    if (record.commands.empty())
        findings.push_back({"commands", "there are none"});
    if (record.commands.size() > MaxCommands)
        findings.push_back({"commands", "there are more than " + std::to_string(MaxCommands)});
}

std::string workspaceOf(const Command &command)
{
    return std::visit(
        [](const auto &typed) -> std::string {
            if constexpr (requires { typed.target.service.workspace; })
                return typed.target.service.workspace;
            else if constexpr (requires { typed.service.workspace; })
                return typed.service.workspace;
            else
                return {}; // Workspaces, keys and failure domains belong to the whole system.
        },
        command);
}

} // namespace baobabtrail
