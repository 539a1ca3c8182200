#pragma once

#include "core/config/change.h"

#include <string>
#include <utility>
#include <vector>

namespace baobabtrail::test {

[[nodiscard]] inline TargetName targetName(const std::string &service, const std::string &target)
{
    return {{"alexandria", service}, target};
}

/// \return An endpoint that is unique to the target number.
[[nodiscard]] inline Endpoint addressOf(std::uint16_t number)
{
    return {0x0a630001, static_cast<std::uint16_t>(20000 + number)};
}

[[nodiscard]] inline AddTarget addTarget(const std::string &service, const std::string &target,
                                         std::uint16_t number)
{
    AddTarget command;
    command.target = targetName(service, target);
    command.domain = "alx-raml";
    command.flows = addressOf(number);
    command.requests = addressOf(number);
    command.slots = 2;
    return command;
}

[[nodiscard]] inline ChangeRecord change(std::string id, std::vector<Command> commands)
{
    ChangeRecord record;
    record.changeId = std::move(id);
    record.author = "operator";
    record.commands = std::move(commands);
    return record;
}

/// \return A change that declares a workspace with the services lending and catalogue, and one
/// target of lending.
[[nodiscard]] inline ChangeRecord declaration(std::string id = "declare")
{
    return change(std::move(id),
                  {DeclareWorkspace{"alexandria", "ab12"},
                   DeclareService{{"alexandria", "lending"}, {}},
                   DeclareService{{"alexandria", "catalogue"}, {}}, addTarget("lending", "t1", 1)});
}

} // namespace baobabtrail::test
