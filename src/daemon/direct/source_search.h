#pragma once

#include "core/directory/peer_view.h"
#include "core/time.h"

#include <cstdint>
#include <optional>

namespace baobabtrail::daemon {

/// \brief Limits the log events of a daemon's search for a source: otherwise a search through
/// hundreds of daemons would log every try.
class SourceSearch
{
public:
    /// \brief The contents of a log event about the search.
    struct Report
    {
        std::uint64_t tries = 0; ///< Queries without success since the search began.
        Duration lasted{0};
        bool found = false;
    };

    /// \brief Records the end of a query.
    /// \return What to log; nothing for most queries.
    [[nodiscard]] std::optional<Report> ended(const QueryReport &end, TimePoint now)
    {
        const bool answered
            = end.outcome == QueryOutcome::Applied || end.outcome == QueryOutcome::Stale;
        if (answered)
            return found(now);
        if (!m_began)
            m_began = now;
        ++m_tries;
        const Duration lasted = now - *m_began;
        if (lasted < m_reportAfter)
            return std::nullopt;
        m_reported = true;
        m_reportAfter = 2 * m_reportAfter;
        return Report{m_tries, lasted, false};
    }

private:
    /// Delay of the first event, as most searches end sooner; it doubles after each event.
    static constexpr Duration FirstReport = 1s;

    [[nodiscard]] std::optional<Report> found(TimePoint now)
    {
        const Report report{m_tries, m_began ? now - *m_began : Duration{0}, true};
        const bool reported = m_reported;
        *this = SourceSearch{};
        return reported ? std::optional{report} : std::nullopt;
    }

    std::optional<TimePoint> m_began{};
    std::uint64_t m_tries = 0;
    Duration m_reportAfter = FirstReport;
    bool m_reported = false;
};

} // namespace baobabtrail::daemon
