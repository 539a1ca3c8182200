#pragma once

#include "core/config/config_log.h"
#include "core/config/log_reader.h"
#include "core/control/context.h"

#include <vector>

namespace baobabtrail {

/// \brief Fetches from peers the records that this daemon lacks.
///
/// One fetch is under way at a time. Every daemon that is known to be ahead is a source; one that
/// does not answer or has nothing usable is dropped until it speaks again.
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
    void heard(Revision revision, const Endpoint &records);

private:
    struct Source
    {
        Endpoint records;
        Revision revision;
    };

    void fetchNext();
    void onReply(const Endpoint &source, const std::optional<RecordsMessage> &message);
    void take(const Records &records);
    void drop(const Endpoint &source);

    ControlContext &m_context;
    ConfigLog &m_log;
    LogReader &m_reader;
    std::vector<Source> m_sources;
    bool m_fetching = false;
};

} // namespace baobabtrail
