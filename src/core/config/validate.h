#pragma once

#include "core/config/change.h"
#include "core/config/finding.h"

#include <optional>
#include <string>
#include <string_view>

/// \file
/// \brief Checks of a record that don't depend on the configuration.

namespace baobabtrail {

inline constexpr std::size_t MaxNameLength = 63;
inline constexpr std::size_t MaxChangeIdLength = 128;
inline constexpr std::size_t MaxCommands = 1000;
inline constexpr std::uint32_t MaxSlots = 4096;
inline constexpr std::uint32_t MaxWeight = 10000;

/// \return What is wrong with a name of a workspace, service, target or failure domain, or nothing.
[[nodiscard]] std::optional<std::string> checkName(std::string_view name);

/// \brief Checks names, ranges and addresses of one command.
/// \param place Position of the command, for the findings.
/// \param findings Every reason against the command is appended here.
void checkCommand(const Command &command, const std::string &place, Findings &findings);

/// \brief Checks a record except for its individual commands.
void checkRecord(const ChangeRecord &record, Findings &findings);

/// \return The workspace whose configuration \a command changes; empty if it affects the whole
/// system.
[[nodiscard]] std::string workspaceOf(const Command &command);

} // namespace baobabtrail
