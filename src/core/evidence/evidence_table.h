#pragma once

#include "core/evidence/evidence.h"

#include <compare>
#include <cstddef>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace baobabtrail {

/// \brief The reports about targets that count at present, by the failure domain of the reporters.
///
/// Only a few reporters of each target are kept: its memory, and the reports that are passed on, do
/// not grow with the number of daemons that have met the target.
class EvidenceTable
{
public:
    /// Reporters that are kept for a target and a failure domain.
    static constexpr std::size_t MaxReporters = 2;

    /// \brief A daemon that found the target silent.
    struct Silence
    {
        ReporterId reporter;
        std::uint32_t sequence = 0;
        TimePoint observedAt{};
        TimePoint endsAt{};
    };

    /// \return Whether the report changes anything, so that others should get it too.
    bool put(const EvidenceReport &report, TimePoint now);
    /// \return The silences of the target that still count.
    [[nodiscard]] std::vector<Silence> silences(TargetId target, DomainKey domain,
                                                TimePoint now) const;
    /// \brief The target has restarted: what daemons of the domain observed before, also what is
    /// still under way, counts no longer.
    void forget(TargetId target, DomainKey domain, TimePoint now);
    /// \return Targets and failure domains with reports that ended since the last call.
    std::vector<std::pair<TargetId, DomainKey>> expire(TimePoint now);
    /// \return At most \a count reports that still count, as they are now.
    [[nodiscard]] std::vector<EvidenceReport> reports(std::size_t count, TimePoint now) const;

    /// \return Number of targets and failure domains with reports.
    [[nodiscard]] std::size_t size() const noexcept { return m_entries.size(); }

private:
    struct Key
    {
        TargetId target;
        DomainKey domain;

        friend auto operator<=>(const Key &, const Key &) noexcept = default;
    };
    struct Entry
    {
        std::vector<Silence> silences;
        std::optional<TimePoint> aliveAt; ///< Silences that were observed before don't count.
        TimePoint keptUntil{};
    };

    [[nodiscard]] bool putSilent(Entry &entry, const EvidenceReport &report, TimePoint now);
    [[nodiscard]] static bool putAlive(Entry &entry, TimePoint observedAt);

    std::map<Key, Entry> m_entries;
};

} // namespace baobabtrail
