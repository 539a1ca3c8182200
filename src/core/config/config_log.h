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

/// \brief What became of a record that was handed to a ConfigLog.
struct RecordApplied
{
};
/// \brief The revision is in force already.
struct RecordAlreadyApplied
{
};
/// \brief Records in between are missing.
struct RecordGap
{
};
/// \brief Damaged, of an unknown kind or not valid; the log stays at the revision before it.
struct RecordInvalid
{
    Finding finding;
};
using AppendResult = std::variant<RecordApplied, RecordAlreadyApplied, RecordGap, RecordInvalid>;

/// \brief The configuration in force and the newest records that led to it.
///
/// Applies only the next revision in order, whatever order records come in: nothing reverts and
/// nothing is left out.
class ConfigLog
{
public:
    ConfigLog();

    [[nodiscard]] const ConfigPtr &config() const noexcept { return m_config; }
    [[nodiscard]] Revision revision() const noexcept { return m_config->revision; }

    /// \brief Takes one record as it stands in the log.
    /// \param key Revision that the record was found under; a record that names another is bad.
    [[nodiscard]] AppendResult append(Revision key, const std::string &text);

    /// \brief Takes a snapshot where it is newer than what is in force.
    /// \return Why it was not usable, or nothing.
    [[nodiscard]] std::optional<Finding> install(const std::vector<std::string> &shards);

    /// \return The revision that a change got, as far back as ids are kept.
    [[nodiscard]] std::optional<Revision> revisionOf(const std::string &changeId) const;
    /// \return The change that made \a revision; empty where it is no longer known.
    [[nodiscard]] std::string changeIdAt(Revision revision) const;

    /// \brief Answers a peer that lacks records.
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
    std::deque<RetainedRecord> m_retained; ///< Without holes, up to the revision in force.
    std::size_t m_retainedBytes = 0;
    std::deque<AcceptedChange> m_changes;
    std::unordered_map<std::string, Revision> m_changeRevisions;
};

} // namespace baobabtrail
