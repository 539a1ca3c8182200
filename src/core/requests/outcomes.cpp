#include "core/requests/outcomes.h"

#include <algorithm>
#include <utility>

namespace baobabtrail {

namespace {

/// How long an outcome is retained after the deadline, for a caller whose last retransmission
/// crossed it on the way.
constexpr Duration OutcomeRetention = 1s;

} // namespace

void Outcomes::answered(RequestRecord &record, std::string payload, Turn &turn)
{
    sendAnswer(record, payload, turn);
    observe(record, RequestOutcome::Answered, {}, turn);
    m_table.setState(record, AnsweredState{std::move(payload)}, retainedUntil(record, turn.now));
}

void Outcomes::notRun(RequestRecord &record, RefusalCause cause, Duration retryAfter, Turn &turn)
{
    // The connection broke during an earlier attempt, which may have run. A caller that hears "not
    // run" may retry, and a request that isn't idempotent would run twice.
    if (record.mayHaveRun)
        return unknown(record, UnknownCause::LinkBroken, turn);
    const NotRun reply{record.id, cause, retryAfter, m_context.identity.daemon};
    // The caller may hold another owner's reservation too, and its request may run there. While the
    // request has not arrived here, a refusal could be mistaken for the outcome of that one.
    if (!std::holds_alternative<ReservedState>(record.state)) {
        turn.sendToCaller(record.caller, RequestMessage{reply});
        observe(record, RequestOutcome::NotRun, cause, turn);
    }
    m_table.setState(record, NotRunState{reply}, retainedUntil(record, turn.now));
}

void Outcomes::unknown(RequestRecord &record, UnknownCause cause, Turn &turn)
{
    const OutcomeUnknown reply{record.id, cause};
    turn.sendToCaller(record.caller, RequestMessage{reply});
    observe(record, RequestOutcome::Unknown, {}, turn);
    m_table.setState(record, UnknownState{reply}, retainedUntil(record, turn.now));
}

void Outcomes::resend(RequestRecord &record, Turn &turn)
{
    if (const NotRunState *notRun = std::get_if<NotRunState>(&record.state))
        return turn.sendToCaller(record.caller, RequestMessage{notRun->reply});
    if (const UnknownState *unknown = std::get_if<UnknownState>(&record.state))
        return turn.sendToCaller(record.caller, RequestMessage{unknown->reply});
    AnsweredState *answered = std::get_if<AnsweredState>(&record.state);
    // Resends are bounded: long answers to short datagrams with a forged source address would make
    // the daemon an amplifier.
    if (!answered || answered->resends >= m_context.settings.maxAnswerResends)
        return;
    ++answered->resends;
    sendAnswer(record, answered->payload, turn);
}

void Outcomes::sendAnswer(const RequestRecord &record, const std::string &payload, Turn &turn) const
{
    const std::size_t partBytes = m_context.settings.answerPartBytes;
    const std::size_t parts
        = std::max<std::size_t>(1, (payload.size() + partBytes - 1) / partBytes);
    for (std::size_t part = 0; part < parts; ++part) {
        turn.sendToCaller(record.caller,
                          RequestMessage{Answer{record.id, static_cast<std::uint32_t>(part),
                                                static_cast<std::uint32_t>(parts),
                                                payload.substr(part * partBytes, partBytes)}});
    }
}

void Outcomes::observe(const RequestRecord &record, RequestOutcome outcome, RefusalCause refusal,
                       Turn &turn) const
{
    const bool dispatched = record.attempts > 0;
    const TimePoint left = dispatched ? record.dispatchedAt : turn.now;
    turn.observe(RequestObserved{record.token.service, record.requestClass, outcome, refusal,
                                 left - record.reservedAt, turn.now - record.reservedAt});
}

TimePoint Outcomes::retainedUntil(const RequestRecord &record, TimePoint now) noexcept
{
    return std::max(record.token.deadline, now) + OutcomeRetention;
}

} // namespace baobabtrail
