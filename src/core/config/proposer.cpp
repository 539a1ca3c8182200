#include "core/config/proposer.h"

#include "core/config/log_keys.h"
#include "core/config/record_codec.h"

namespace baobabtrail {

namespace {

constexpr Duration ProposalTimeout = 8s;
constexpr std::uint32_t MaxRevisionsTried = 64;
constexpr std::size_t MaxQueuedProposals = 256;
constexpr Duration MinRetryDelay = 100ms;
constexpr Duration MaxRetryDelay = 1s;

[[nodiscard]] LogUnreachable asFailure(const PlatformResult &result)
{
    if (const auto *failure = std::get_if<PlatformFailure>(&result))
        return {failure->what, failure->retryAfter};
    return {"the platform answered with an unexpected result", Duration{0}};
}

} // namespace

Proposer::Proposer(ControlContext &context, ConfigLog &log, LogReader &reader,
                   QuarantineChecker quarantineCheck)
    : m_context(context)
    , m_log(log)
    , m_reader(reader)
    , m_quarantineCheck(std::move(quarantineCheck))
{
}

void Proposer::propose(Propose request)
{
    auto attempt = std::make_shared<Attempt>();
    attempt->request = std::move(request);
    attempt->backoff = Backoff{MinRetryDelay, MaxRetryDelay};
    if (m_queue.size() >= MaxQueuedProposals) {
        m_context.emit(ProposalDone{attempt->request.proposal,
                                    ProposalUnknown{"too many changes are queued at this daemon"}});
        return;
    }
    m_queue.push_back(std::move(attempt));
    if (m_queue.size() == 1)
        startNext();
}

void Proposer::startNext()
{
    if (m_queue.empty())
        return;
    const AttemptPtr attempt = m_queue.front();
    attempt->deadline = m_context.now() + ProposalTimeout;
    if (!finishIfAccepted(attempt))
        readLog(attempt);
}

void Proposer::finish(const AttemptPtr &attempt, ProposalOutcome outcome)
{
    m_context.emit(ProposalDone{attempt->request.proposal, std::move(outcome)});
    m_queue.pop_front();
    // Started from a timer: a queue of already accepted changes would otherwise recurse once for
    // each of them.
    if (!m_queue.empty())
        m_context.after(Duration{0}, [this] { startNext(); });
}

void Proposer::readLog(const AttemptPtr &attempt)
{
    m_reader.catchUp([this, attempt](const LogReadResult &result) {
        if (const auto *failure = std::get_if<LogUnreachable>(&result))
            return retryLater(attempt, *failure, &Proposer::readLog);
        // The change may already be in the log after the unreadable record.
        if (const auto *broken = std::get_if<LogBroken>(&result))
            return finishUnknown(attempt, "the log can't be read: " + toString(broken->finding));
        prepare(attempt);
    });
}

void Proposer::prepare(const AttemptPtr &attempt)
{
    if (finishIfAccepted(attempt) || refuseOnRevisionMismatch(attempt))
        return;
    if (++attempt->tries > MaxRevisionsTried)
        return refuse(
            attempt,
            {"change: " + std::to_string(MaxRevisionsTried) + " other changes came first; retry"},
            m_log.changeIdAt(m_log.revision()));

    ChangeRecord record = attempt->request.draft;
    record.revision = Revision{m_log.revision().value() + 1};
    record.unixSeconds = m_context.unixNow().time_since_epoch().count();
    record.quarantineSeconds
        = std::chrono::duration_cast<std::chrono::seconds>(m_context.settings().addressQuarantine)
              .count();
    const ApplyResult applied = applyRecord(*m_log.config(), record);
    if (!applied.findings.empty())
        return refuse(attempt, toStrings(applied.findings));

    attempt->revision = record.revision;
    attempt->text = encodeRecord(record);
    if (attempt->text.size() > MaxObjectBytes)
        return refuse(attempt, {"change: takes " + std::to_string(attempt->text.size())
                                + " bytes, more than " + std::to_string(MaxObjectBytes)});
    if (!applied.quarantined.empty())
        return checkQuarantine(attempt, applied);
    if (attempt->request.dryRun)
        return finish(attempt, ProposalPreview{applied.effects, m_log.revision()});
    write(attempt);
}

void Proposer::checkQuarantine(const AttemptPtr &attempt, const ApplyResult &applied)
{
    m_quarantineCheck(applied.quarantined,
                      [this, attempt, effects = applied.effects](const Findings &findings) {
                          if (!findings.empty())
                              return refuse(attempt, toStrings(findings));
                          if (attempt->request.dryRun)
                              return finish(attempt, ProposalPreview{effects, m_log.revision()});
                          write(attempt);
                      });
}

void Proposer::write(const AttemptPtr &attempt)
{
    m_context.call(CreateObject{logKey(attempt->revision), attempt->text},
                   [this, attempt](const PlatformResult &result) { onWritten(attempt, result); });
}

void Proposer::onWritten(const AttemptPtr &attempt, const PlatformResult &result)
{
    if (std::holds_alternative<Written>(result)) {
        m_lastWritten = attempt->revision;
        (void)m_reader.append(attempt->revision, attempt->text);
        return finish(attempt, ProposalAccepted{attempt->revision, false});
    }
    if (std::holds_alternative<WriteConflict>(result))
        return readBack(attempt);
    // The record may be in the log with only the reply lost, or the write may still be in flight.
    retryLater(attempt, asFailure(result), &Proposer::readBack);
}

void Proposer::readBack(const AttemptPtr &attempt)
{
    m_context.call(
        ReadObject{logKey(attempt->revision)}, [this, attempt](const PlatformResult &result) {
            if (const auto *object = std::get_if<StoredObject>(&result))
                return onReadBack(attempt, *object);
            // An earlier write may still be in flight and arrive later, so the missing object
            // doesn't mean that it failed. Writing the same record under the same key twice is
            // harmless: only one create takes effect, whichever arrives first.
            if (std::holds_alternative<ObjectMissing>(result))
                return retryLater(attempt, {"the result of the write is unknown", Duration{0}},
                                  &Proposer::write);
            retryLater(attempt, asFailure(result), &Proposer::readBack);
        });
}

void Proposer::onReadBack(const AttemptPtr &attempt, const StoredObject &object)
{
    if (object.value == attempt->text) {
        m_lastWritten = attempt->revision;
        (void)m_reader.append(attempt->revision, object.value);
        return finish(attempt, ProposalAccepted{attempt->revision, false});
    }
    onRevisionTaken(attempt, object);
}

// Another record has taken the revision, so this daemon's create can no longer take effect there.
void Proposer::onRevisionTaken(const AttemptPtr &attempt, const StoredObject &object)
{
    const AppendResult appended = m_reader.append(attempt->revision, object.value);
    if (std::holds_alternative<RecordInvalid>(appended)
        || std::holds_alternative<RecordGap>(appended))
        return readLog(attempt);
    prepare(attempt);
}

bool Proposer::finishIfAccepted(const AttemptPtr &attempt)
{
    const auto revision = m_log.revisionOf(attempt->request.draft.changeId);
    if (!revision)
        return false;
    finish(attempt, ProposalAccepted{*revision, true});
    return true;
}

bool Proposer::refuseOnRevisionMismatch(const AttemptPtr &attempt)
{
    const auto &expected = attempt->request.expected;
    if (!expected || *expected == m_log.revision())
        return false;
    const std::string winner = m_log.changeIdAt(Revision{expected->value() + 1});
    std::string finding = "expected revision " + std::to_string(expected->value())
                          + ": the newest is " + std::to_string(m_log.revision().value());
    if (!winner.empty())
        finding += "; change \"" + winner + "\" came first";
    refuse(attempt, {std::move(finding)}, winner);
    return true;
}

void Proposer::refuse(const AttemptPtr &attempt, std::vector<std::string> findings,
                      std::string winner)
{
    finish(attempt, ProposalRefused{std::move(findings), std::move(winner), m_log.revision()});
}

void Proposer::finishUnknown(const AttemptPtr &attempt, const std::string &what)
{
    finish(attempt, ProposalUnknown{what});
}

void Proposer::retryLater(const AttemptPtr &attempt, const LogUnreachable &failure,
                          void (Proposer::*step)(const AttemptPtr &))
{
    const Duration wait = attempt->backoff.next(m_context.random(), failure.retryAfter);
    // The outcome is unknown even if nothing was written now: an earlier proposal with this change
    // id may have been accepted.
    if (m_context.now() + wait > attempt->deadline)
        return finishUnknown(attempt, "the platform did not answer (" + failure.what
                                          + "); retry with the same change id");
    m_context.after(wait, [this, attempt, step] { (this->*step)(attempt); });
}

} // namespace baobabtrail
