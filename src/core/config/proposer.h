#pragma once

#include "core/config/config_log.h"
#include "core/config/log_reader.h"
#include "core/control/context.h"

#include <deque>
#include <functional>
#include <memory>

namespace baobabtrail {

/// \brief Appends changes to the configuration log, one at a time.
///
/// A change is accepted by creating the object of the next revision on condition that it doesn't
/// exist: if several daemons try, the platform lets one succeed. The other steps determine whether
/// that create took effect.
///
/// Steps: read the log, prepare the record, check quarantined addresses, write, and, if the result
/// of the write is unclear, read the object back.
class Proposer
{
public:
    using QuarantineChecked = std::function<void(Findings)>;
    /// \brief Checks whether quarantined addresses may be reused; calls back with the reasons
    /// against it, or with no findings.
    using QuarantineChecker = std::function<void(std::vector<QuarantineUse>, QuarantineChecked)>;

    Proposer(ControlContext &context, ConfigLog &log, LogReader &reader,
             QuarantineChecker quarantineCheck);

    void propose(Propose request);
    /// \return Newest revision that this daemon itself wrote.
    [[nodiscard]] Revision lastWritten() const noexcept { return m_lastWritten; }

private:
    /// \brief One proposal in the queue; shared by the callbacks of its pending calls.
    struct Attempt
    {
        Propose request;
        TimePoint deadline;
        Backoff backoff;
        std::uint32_t tries = 0; ///< Revisions for which it was prepared so far.
        Revision revision;       ///< Revision for which it is prepared now.
        std::string text;        ///< Encoded record for that revision.
    };
    using AttemptPtr = std::shared_ptr<Attempt>;

    void startNext();
    void finish(const AttemptPtr &attempt, ProposalOutcome outcome);

    void readLog(const AttemptPtr &attempt);
    void prepare(const AttemptPtr &attempt);
    void checkQuarantine(const AttemptPtr &attempt, const ApplyResult &applied);
    void write(const AttemptPtr &attempt);
    void onWritten(const AttemptPtr &attempt, const PlatformResult &result);
    void readBack(const AttemptPtr &attempt);
    void onReadBack(const AttemptPtr &attempt, const StoredObject &object);
    void onRevisionTaken(const AttemptPtr &attempt, const StoredObject &object);

    [[nodiscard]] bool finishIfAccepted(const AttemptPtr &attempt);
    [[nodiscard]] bool refuseOnRevisionMismatch(const AttemptPtr &attempt);
    void refuse(const AttemptPtr &attempt, std::vector<std::string> findings,
                std::string winner = {});
    void finishUnknown(const AttemptPtr &attempt, const std::string &what);
    void retryLater(const AttemptPtr &attempt, const LogUnreachable &failure,
                    void (Proposer::*step)(const AttemptPtr &));

    ControlContext &m_context;
    ConfigLog &m_log;
    LogReader &m_reader;
    QuarantineChecker m_quarantineCheck;
    Revision m_lastWritten;
    std::deque<AttemptPtr> m_queue; ///< The front one is in progress.
};

} // namespace baobabtrail
