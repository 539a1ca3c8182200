#pragma once

#include "core/requests/request_record.h"

#include <map>
#include <optional>
#include <queue>
#include <unordered_map>
#include <vector>

namespace baobabtrail {

/// \brief The records of the requests that this daemon owns, bounded in number.
class RequestTable
{
public:
    explicit RequestTable(std::size_t capacity) noexcept
        : m_capacity(capacity)
    {
    }

    [[nodiscard]] std::size_t size() const noexcept { return m_records.size(); }
    [[nodiscard]] bool full() const noexcept { return m_records.size() >= m_capacity; }
    /// \return Whether the table is at least half full and a workspace has used up its share of it.
    /// \param weight Of the workspace, relative to \a totalWeight, the sum over all workspaces.
    [[nodiscard]] bool shareExhausted(const std::string &workspace, std::uint32_t weight,
                                      std::uint64_t totalWeight) const noexcept;
    [[nodiscard]] RequestRecord *find(const RequestId &id) noexcept;
    /// \return The record of the attempt, or null where the attempt has ended or was abandoned.
    [[nodiscard]] RequestRecord *findAttempt(AttemptId attempt) noexcept;

    RequestRecord &add(RequestRecord record);
    void erase(const RequestId &id);
    void bindAttempt(AttemptId attempt, const RequestId &id) { m_attempts[attempt] = id; }
    void dropAttempt(AttemptId attempt) { m_attempts.erase(attempt); }
    [[nodiscard]] std::size_t runningAttempts() const noexcept { return m_attempts.size(); }

    /// \brief Moves a record to a new state, which times out at \a dueAt.
    void setState(RequestRecord &record, RequestState state, TimePoint dueAt);
    /// \return A record whose state has timed out by \a now, or null.
    [[nodiscard]] RequestRecord *due(TimePoint now);
    [[nodiscard]] std::optional<TimePoint> nextTimer() const noexcept;

    /// \return Requests that are reserved, queued or running.
    [[nodiscard]] std::size_t inProgress() const noexcept { return m_inProgress; }
    /// \return Bytes of the retained answers.
    [[nodiscard]] std::size_t answerBytes() const noexcept { return m_answerBytes; }
    /// \return Requests that run on a target or are queued for it, sorted.
    [[nodiscard]] std::vector<RequestId> ofTarget(TargetId target) const;

private:
    struct Due
    {
        TimePoint at;
        RequestId id;

        friend bool operator>(const Due &a, const Due &b) noexcept { return a.at > b.at; }
    };

    void adjustCounts(const RequestRecord &record, bool added) noexcept;

    std::size_t m_capacity;
    std::unordered_map<RequestId, RequestRecord> m_records;
    std::unordered_map<AttemptId, RequestId> m_attempts;
    std::map<std::string, std::size_t> m_perWorkspace;
    // Entries are not removed when their record changes: one that differs from dueAt is skipped.
    std::priority_queue<Due, std::vector<Due>, std::greater<>> m_due;
    std::size_t m_inProgress = 0;
    std::size_t m_answerBytes = 0;
};

} // namespace baobabtrail
