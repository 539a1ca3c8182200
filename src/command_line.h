#pragma once

#include <gflags/gflags.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <iostream>
#include <string>
#include <string_view>
#include <vector>

DECLARE_bool(help);

namespace baobabtrail {

/// \return Whether the flag is one of the gflags library's own, as --undefok is.
[[nodiscard]] inline bool isOfLibrary(const gflags::CommandLineFlagInfo &flag)
{
    constexpr std::array<std::string_view, 3> sources{"gflags.cc", "gflags_reporting.cc",
                                                      "gflags_completions.cc"};
    return std::any_of(sources.begin(), sources.end(), [&flag](std::string_view source) {
        return flag.filename.ends_with(source);
    });
}

/// \brief Prints a line of usage and the program's own flags.
inline void printHelp(std::string_view usage)
{
    std::vector<gflags::CommandLineFlagInfo> flags;
    gflags::GetAllFlags(&flags);
    std::cout << usage << "\n\nFlags:\n";
    for (const gflags::CommandLineFlagInfo &flag : flags) {
        if (isOfLibrary(flag))
            continue;
        std::cout << "  --" << flag.name << "  " << flag.description << " (" << flag.type;
        if (!flag.default_value.empty())
            std::cout << ", " << flag.default_value;
        std::cout << ")\n";
    }
}

/// \brief Reads the command line's flags and takes them out of it; for --help prints the program's
/// own ones and ends with status 0. A mistake ends the program with status 1, as gflags does.
/// \param usage How the program is called, and what it does.
inline void readFlags(int &argc, char **&argv, const std::string &usage)
{
    gflags::SetUsageMessage(usage);
    gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
    if (FLAGS_help) {
        printHelp(usage);
        std::exit(0); // NOLINT(concurrency-mt-unsafe): nothing has been started.
    }
    gflags::HandleCommandLineHelpFlags();
}

} // namespace baobabtrail
