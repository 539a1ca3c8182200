#pragma once

#include "core/config/apply.h"
#include "core/config/change.h"
#include "core/config/snapshot.h"
#include "core/messages/records.h"

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>

namespace baobabtrail {

/// \brief The record was applied.
struct RecordApplied
{
};
/// \brief The record's revision is already in force or superseded.
struct RecordAlreadyApplied
{
};
/// \brief Records between the revision in force and this one are missing.
struct RecordGap
{
};
/// \brief The record is damaged, of an unknown kind or not valid. The log stays at the previous
/// revision.
struct RecordInvalid
{
    Finding finding;
};
/// \brief Outcome of handing a record to a ConfigLog.
using AppendResult = std::variant<RecordApplied, RecordAlreadyApplied, RecordGap, RecordInvalid>;

/// \brief The configuration in force and the most recent records that led to it.
///
/// Applies only the next revision, in whatever order records arrive, so that the configuration
/// never reverts and skips no record.
class ConfigLog
{
public:
    ConfigLog();

    [[nodiscard]] const ConfigPtr &config() const noexcept { return m_config; }
    [[nodiscard]] Revision revision() const noexcept { return m_config->revision; }

    /// \brief Applies one record if it is the next one.
    /// \param key Revision in the key under which the record was stored. A record that names
    /// another revision is invalid.
    /// \param text The record as stored. \see encodeRecord()
    [[nodiscard]] AppendResult append(Revision key, const std::string &text);

    /// \brief Replaces the configuration by a snapshot if that is newer than the one in force.
    /// \return Why the snapshot could not be decoded, or nothing; an older one is no error.
    [[nodiscard]] std::optional<Finding> install(const std::vector<std::string> &shards);

    /// \return The revision of an accepted change, or nothing if it is unknown or too old: only a
    /// limited number of change ids is retained.
    [[nodiscard]] std::optional<Revision> revisionOf(const std::string &changeId) const;
    /// \return Id of the change that created \a revision; empty if it is no longer known.
    [[nodiscard]] std::string changeIdAt(Revision revision) const;

    /// \brief Answers a peer that lacks records: with the records if they are retained, else with
    /// a snapshot.
    [[nodiscard]] Records serve(const FetchRecords &request) const;
    [[nodiscard]] Snapshot snapshot() const;
    [[nodiscard]] std::vector<ChangeRecord> retainedRecords() const;

private:
    struct RetainedRecord
    {
        ChangeRecord record;
        std::string text;
    };

    void indexChange(AcceptedChange change);
    void retain(ChangeRecord record, std::string text);

    ConfigPtr m_config;
    std::deque<RetainedRecord> m_retained; ///< Consecutive, up to the revision in force.
    std::size_t m_retainedBytes = 0;
    std::deque<AcceptedChange> m_changes;
    std::unordered_map<std::string, Revision> m_changeRevisions;
};

} // namespace baobabtrail
