#pragma once

#include "core/config/config_log.h"
#include "core/config/log_reader.h"
#include "core/control/context.h"

#include <vector>

namespace baobabtrail {

/// \brief Fetches from peers the records that this daemon lacks.
///
/// Every daemon that is known to be ahead is a source; one that does not answer or has nothing
/// usable is dropped until it speaks again. One fetch is under way, and another one from another
/// source where it takes long: a peer that stands still would otherwise cost seconds.
class PeerFetcher
{
public:
    PeerFetcher(ControlContext &context, ConfigLog &log, LogReader &reader)
        : m_context(context)
        , m_log(log)
        , m_reader(reader)
    {
    }

    /// \brief A peer has this revision in force.
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
    std::uint64_t m_lastFetchId = 0; ///< Ever begun.
    std::size_t m_openFetches = 0;   ///< Under way now.
};

} // namespace baobabtrail
