#pragma once

#include "core/config/config_log.h"
#include "core/config/log_reader.h"
#include "core/control/context.h"

#include <deque>
#include <functional>
#include <memory>

namespace baobabtrail {

/// \brief Puts changes into the log, one after the other.
///
/// A change is accepted by creating the object of the next revision where none exists: of all
/// daemons that try, the platform lets one through. Everything else here finds out whether that
/// create took effect.
class Proposer
{
public:
    using QuarantineChecked = std::function<void(Findings)>;
    /// \brief Finds out whether addresses in quarantine may be taken, and calls back with reasons
    /// against it.
    using QuarantineChecker = std::function<void(std::vector<QuarantineUse>, QuarantineChecked)>;

    Proposer(ControlContext &context, ConfigLog &log, LogReader &reader,
             QuarantineChecker quarantineCheck);

    void propose(Propose request);
    /// \return Newest revision that this daemon wrote itself.
    [[nodiscard]] Revision lastWritten() const noexcept { return m_lastWritten; }

private:
    /// \brief One proposal on its way; shared by the replies that it waits for.
    struct Attempt
    {
        Propose request;
        TimePoint deadline;
        Backoff backoff;
        std::uint32_t tries = 0; ///< Revisions that it has tried to get.
        Revision revision;       ///< That it tries to get now.
        std::string text;        ///< Record for that revision.
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
    std::deque<AttemptPtr> m_queue; ///< The first one is worked on.
};

} // namespace baobabtrail
