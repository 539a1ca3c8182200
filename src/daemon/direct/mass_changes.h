#pragma once

#include "core/directory/directory.h"
#include "core/time.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace baobabtrail::daemon {

/// \brief Changes of the same kind of many targets, which the log tells in one line.
struct MassChange
{
    std::string_view kind;
    std::size_t targets = 0;
    Duration lasted{0};
    std::map<std::string, std::size_t> byDomain; ///< Number of targets.
    std::vector<std::string> sample;             ///< Names of a few of them.
};

/// \brief Decides which changes of targets get a log line of their own.
///
/// A daemon that starts begins to use ten thousand targets at once; a line for each, at the log's
/// rate, would stand before all others for minutes.
class MassChanges
{
public:
    /// \param kind A string literal.
    /// \return Whether the change gets a line of its own; it is part of a MassChange otherwise.
    [[nodiscard]] bool add(std::string_view kind, const RegisteredTarget &target, TimePoint now);
    /// \return The mass changes that have ended, or lasted for a while, since the last call.
    [[nodiscard]] std::vector<MassChange> takeEnded(TimePoint now);

private:
    struct Kind
    {
        TimePoint since{};
        std::size_t lines = 0; ///< Lines of their own since then.
        MassChange mass;
    };

    std::map<std::string_view, Kind> m_kinds;
};

} // namespace baobabtrail::daemon
