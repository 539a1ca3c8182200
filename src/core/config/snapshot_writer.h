#pragma once

#include "core/config/config_log.h"
#include "core/config/log_reader.h"
#include "core/control/context.h"

#include <memory>
#include <vector>

namespace baobabtrail {

/// \brief Writes snapshots to the platform and deletes what they make needless.
///
/// Only the first watcher of a failure domain runs it. Two at once do no harm: every object is
/// created where none exists, and its content follows from the revision.
class SnapshotWriter
{
public:
    SnapshotWriter(ControlContext &context, ConfigLog &log)
        : m_context(context)
        , m_log(log)
    {
    }

    /// \brief Goes one step on, where one is due. Lists what other domains have written first.
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
    Revision m_newestSnapshot; ///< Newest complete snapshot that is known.
    Revision m_compactTo;      ///< Records up to this one are covered by two snapshots.
    std::vector<std::string> m_oldSnapshots; ///< Keys of snapshots that are no longer needed.
};

} // namespace baobabtrail
