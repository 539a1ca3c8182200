#pragma once

#include "core/config/config_log.h"
#include "core/config/log_reader.h"
#include "core/control/context.h"

#include <memory>
#include <vector>

namespace baobabtrail {

/// \brief Writes snapshots to the platform, and deletes records and snapshots that are no longer
/// needed.
///
/// Only the first watcher of each failure domain runs it. Concurrent writers are harmless: objects
/// are only created, never overwritten, and their content is determined by the revision.
class SnapshotWriter
{
public:
    SnapshotWriter(ControlContext &context, ConfigLog &log)
        : m_context(context)
        , m_log(log)
    {
    }

    /// \brief Starts the next step if one is due: a snapshot or a batch of deletions. Before a
    /// snapshot, lists those that other failure domains have written.
    void tick();

private:
    struct Job
    {
        Revision revision;
        std::vector<std::string> shards;
        std::size_t written = 0;
    };

    [[nodiscard]] bool isDue() const;
    void list(const std::string &after, std::vector<StoredObject> found);
    void onListed(const std::vector<StoredObject> &objects);
    void writeShard(const std::shared_ptr<Job> &job);
    void writeManifest(const std::shared_ptr<Job> &job);
    void compact();
    void onOldRecords(const ObjectList &list);
    void deleteNext(const std::shared_ptr<std::vector<std::string>> &keys);

    ControlContext &m_context;
    ConfigLog &m_log;
    bool m_busy = false;
    Revision m_newestSnapshot; ///< Newest complete snapshot known.
    Revision m_compactTo;      ///< Records up to here are in two snapshots and may be deleted.
    std::vector<std::string> m_oldSnapshots; ///< Keys of snapshots that are no longer needed.
};

} // namespace baobabtrail
