#pragma once

#include "core/config/config_log.h"
#include "core/config/log_reader.h"
#include "core/control/context.h"

#include <vector>

namespace baobabtrail {

/// \brief Fetches missing log records from peers.
///
/// Every daemon that is known to have a newer revision is a source. A source that does not answer
/// or returns nothing usable is dropped until it sends another message. One fetch is in flight at a
/// time; a slow one is hedged by a fetch from another source, since a stalled peer would otherwise
/// delay the change by seconds.
class PeerFetcher
{
public:
    PeerFetcher(ControlContext &context, ConfigLog &log, LogReader &reader)
        : m_context(context)
        , m_log(log)
        , m_reader(reader)
    {
    }

    /// \brief Called when a peer reports that it has \a revision in force.
    /// \param records Address that the peer serves its records at.
    void onPeerRevision(Revision revision, const Endpoint &records);

private:
    struct Source
    {
        Endpoint records;
        Revision revision;
        bool fetching = false;
    };

    void fetchNext();
    void hedgeSlowFetch(std::uint64_t fetch);
    void onReply(const Endpoint &source, Revision after,
                 const std::optional<RecordsMessage> &message);
    void applyRecords(const Records &records, Revision after);
    void dropSource(const Endpoint &source);

    ControlContext &m_context;
    ConfigLog &m_log;
    LogReader &m_reader;
    std::vector<Source> m_sources;
    std::uint64_t m_lastFetchId = 0; ///< Id of the newest fetch.
    std::size_t m_openFetches = 0;   ///< Fetches in flight.
};

} // namespace baobabtrail
