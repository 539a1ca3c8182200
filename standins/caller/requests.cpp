#include "caller/requests.h"

#include "support/standin_process.h"

#include <algorithm>
#include <sstream>

namespace baobabtrail::standins {

namespace {

constexpr Duration FirstRetransmission = 200ms;
constexpr Duration MaxRetransmission = 1s;
/// \brief Time after its deadline for which a request still waits for an outcome.
constexpr Duration Grace = 1s;

[[nodiscard]] double percentile(const std::vector<double> &sorted, double share)
{
    if (sorted.empty())
        return 0;
    const auto last = static_cast<double>(sorted.size() - 1);
    return sorted[static_cast<std::size_t>(last * share)];
}

} // namespace

Requests::Requests(const CallerSettings &settings, Random &random, Send send, TimePoint now)
    : m_settings(settings)
    , m_random(random)
    , m_send(std::move(send))
    , m_nextStart(now)
{
    for (const char *name : {"sent", "answered", "notRun", "unknown", "timedOut", "wrongAnswers",
                             "answeredAfterNotRun"})
        m_counts[name] = 0;
}

void Requests::tick(TimePoint now)
{
    const bool open = !m_stopped && m_settings.requestsPerSecond > 0;
    while (open && m_nextStart <= now && m_entries.size() < m_settings.maxRequests)
        start(now);

    for (const RequestId &id : m_active) {
        Entry &entry = m_entries.at(id);
        if (!isOpen(entry))
            continue;
        if (entry.deadline + Grace <= now)
            finish(entry, State::TimedOut, "timedOut");
        else if (entry.nextSend <= now)
            send(id, entry, now);
    }
    std::erase_if(m_active, [this](const RequestId &id) { return !isOpen(m_entries.at(id)); });
}

bool Requests::isOpen(const Entry &entry) noexcept
{
    return entry.state == State::Reserving || entry.state == State::Sent;
}

void Requests::start(TimePoint now)
{
    const double meanSeconds = 1 / m_settings.requestsPerSecond;
    m_nextStart += exponential(
        m_random, std::chrono::duration_cast<Duration>(std::chrono::duration<double>(meanSeconds)));

    const RequestId id{m_random(), m_random()};
    Entry &entry = m_entries[id];
    entry.payload = std::to_string(m_random());
    entry.payload.resize(std::max(entry.payload.size(), m_settings.payloadBytes), 'x');
    entry.started = now;
    entry.deadline = now + m_settings.deadline;
    entry.retransmission = FirstRetransmission;
    m_active.push_back(id);
    ++m_pending;
    ++m_counts["sent"];
    send(id, entry, now);
}

void Requests::send(const RequestId &id, Entry &entry, TimePoint now)
{
    entry.nextSend = now + entry.retransmission;
    entry.retransmission = std::min(entry.retransmission * 2, MaxRetransmission);
    if (entry.state == State::Sent) {
        m_send(RequestMessage{RequestData{id, entry.token, entry.payload}});
        return;
    }
    if (entry.deadline <= now)
        return; // A reservation after the deadline is useless.
    m_send(RequestMessage{Reserve{id, m_settings.service, m_settings.requestClass,
                                  m_settings.idempotent, entry.deadline - now, entry.attempt}});
    ++entry.attempt;
}

void Requests::receive(const RequestMessage &message, TimePoint now)
{
    std::visit(
        [this, now](const auto &m) {
            const auto found = m_entries.find(m.request);
            if (found != m_entries.end())
                on(found->second, m, now);
            else
                ++m_counts["strayMessages"];
        },
        message);
}

// Uses only the first reservation: a caller that used two would have two owners, and the request
// might run twice.
void Requests::on(Entry &entry, const Reserved &message, TimePoint now)
{
    if (entry.state != State::Reserving)
        return;
    entry.state = State::Sent;
    entry.token = message.token;
    entry.retransmission = FirstRetransmission;
    send(message.request, entry, now);
}

void Requests::on(Entry &entry, const Answer &message, TimePoint now)
{
    if (entry.state == State::NotRun)
        ++m_counts["answeredAfterNotRun"];
    if (entry.state != State::Sent)
        return;
    if (entry.parts.size() != message.parts)
        entry.parts.assign(message.parts, std::nullopt);
    entry.parts[message.part] = message.payload;
    if (std::find(entry.parts.begin(), entry.parts.end(), std::nullopt) != entry.parts.end())
        return;
    if (!isAnswerTo(message.request, entry))
        ++m_counts["wrongAnswers"];
    m_latencies.push_back(std::chrono::duration<double, std::milli>(now - entry.started).count());
    finish(entry, State::Answered, "answered");
}

bool Requests::isAnswerTo(const RequestId &id, const Entry &entry) const
{
    std::ostringstream expected;
    expected << id << ' ' << m_settings.service << ' ' << entry.payload;
    std::string answer;
    for (const auto &part : entry.parts)
        answer += *part;
    return answer.starts_with(expected.str());
}

void Requests::on(Entry &entry, const NotRun &message, TimePoint)
{
    const bool ofOwner = entry.state == State::Sent && message.owner == entry.token.owner;
    if (entry.state != State::Reserving && !ofOwner)
        return;
    ++m_counts["notRun_" + std::to_string(static_cast<int>(message.cause))];
    finish(entry, State::NotRun, "notRun");
}

void Requests::on(Entry &entry, const OutcomeUnknown &message, TimePoint)
{
    if (entry.state != State::Sent)
        return;
    ++m_counts["unknown_" + std::to_string(static_cast<int>(message.cause))];
    finish(entry, State::Unknown, "unknown");
}

void Requests::finish(Entry &entry, State state, const char *counter)
{
    entry.state = state;
    entry.parts.clear();
    --m_pending;
    ++m_counts[counter];
}

boost::json::object Requests::stats() const
{
    boost::json::object out = boost::json::value_from(m_counts).as_object();
    out["pending"] = m_pending;
    std::vector<double> sorted = m_latencies;
    std::sort(sorted.begin(), sorted.end());
    out["latencyMs"] = boost::json::object{{"p50", percentile(sorted, 0.5)},
                                           {"p99", percentile(sorted, 0.99)},
                                           {"p99.9", percentile(sorted, 0.999)}};
    return out;
}

boost::json::object Requests::ids() const
{
    boost::json::array answered;
    boost::json::array notRun;
    for (const auto &[id, entry] : m_entries) {
        std::ostringstream text;
        text << id;
        if (entry.state == State::Answered)
            answered.emplace_back(text.str());
        else if (entry.state == State::NotRun)
            notRun.emplace_back(text.str());
    }
    return {{"answered", std::move(answered)}, {"notRun", std::move(notRun)}};
}

} // namespace baobabtrail::standins
