#include "daemon/direct/mass_changes.h"

#include <utility>

namespace baobabtrail::daemon {

namespace {

/// Changes of one kind within Window that get lines of their own.
constexpr std::size_t MaxLines = 10;
constexpr Duration Window = 1s;
constexpr std::size_t MaxSample = 5;

} // namespace

bool MassChanges::add(std::string_view kind, const RegisteredTarget &target, TimePoint now)
{
    Kind &known = m_kinds[kind];
    MassChange &mass = known.mass;
    if (mass.targets == 0 && now - known.since >= Window) {
        known.since = now;
        known.lines = 0;
    }
    if (mass.targets == 0 && known.lines < MaxLines) {
        ++known.lines;
        return true;
    }
    mass.kind = kind;
    mass.lasted = now - known.since;
    ++mass.targets;
    ++mass.byDomain[target.domain];
    if (mass.sample.size() < MaxSample)
        mass.sample.push_back(target.name);
    return false;
}

std::vector<MassChange> MassChanges::takeEnded(TimePoint now)
{
    std::vector<MassChange> out;
    for (auto &[kind, known] : m_kinds) {
        if (known.mass.targets == 0 || now - known.since < Window)
            continue;
        out.push_back(std::exchange(known.mass, {}));
        known.since = now;
        known.lines = 0;
    }
    return out;
}

} // namespace baobabtrail::daemon
