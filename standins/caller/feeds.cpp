#include "caller/feeds.h"

#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>

namespace baobabtrail::standins {

namespace {

constexpr Duration FirstRetransmission = 200ms;
constexpr Duration MaxRetransmission = 2s;

} // namespace

Feeds::Feeds(const CallerSettings &settings, Random &random, Send send)
    : m_settings(settings)
    , m_random(random)
    , m_send(std::move(send))
    , m_feeds(settings.feeds)
    , m_pushPrefix("push " + std::to_string(settings.service.value()) + ' ')
{
    m_counts = {{"opened", 0}, {"refused", 0}, {"broken", 0}, {"wrongData", 0}};
}

FlowId Feeds::newFlow()
{
    return FlowId{m_random() | 1};
}

void Feeds::tick(TimePoint now)
{
    for (Feed &feed : m_feeds) {
        if (feed.flow.isNull())
            openAgain(feed, now);
        if (feed.state == State::Opening && feed.nextSend <= now)
            sendOpen(feed, now);
        else if (feed.state == State::Open)
            sendInFlow(feed, now);
    }
}

void Feeds::openAgain(Feed &feed, TimePoint now)
{
    m_byFlow.erase(feed.flow);
    const FlowId resumes = feed.flow;
    feed = Feed{};
    feed.flow = newFlow();
    feed.resumes = resumes;
    feed.retransmission = FirstRetransmission;
    // Spread over one second, so that a caller with many feeds doesn't open all of them at once.
    boost::random::uniform_int_distribution<std::int64_t> spread{0, Duration{1s}.count()};
    feed.nextSend = now + Duration{spread(m_random)};
    m_byFlow[feed.flow] = static_cast<std::size_t>(&feed - m_feeds.data());
}

void Feeds::sendOpen(Feed &feed, TimePoint now)
{
    m_send(FlowMessage{OpenFlow{feed.flow, m_settings.service, feed.resumes, feed.attempt}});
    ++feed.attempt;
    feed.nextSend = now + feed.retransmission;
    feed.retransmission = std::min(feed.retransmission * 2, MaxRetransmission);
}

void Feeds::sendInFlow(Feed &feed, TimePoint now)
{
    if (feed.unanswered >= m_settings.silentLimit) {
        broke(feed, "silent", now);
        return;
    }
    if (feed.nextSend <= now) {
        m_send(FlowMessage{KeepAlive{feed.flow, feed.token, feed.unanswered}});
        ++feed.unanswered;
        feed.nextSend += m_settings.keepAlivePeriod;
    }
    if (feed.nextData <= now) {
        const std::string payload
            = std::to_string(feed.flow.value()) + ' ' + std::to_string(++feed.sent);
        m_send(FlowMessage{FlowData{feed.flow, feed.token, payload}});
        feed.nextData += m_settings.dataPeriod;
        ++m_counts["dataSent"];
    }
}

void Feeds::receive(const FlowMessage &message, TimePoint now)
{
    std::visit(
        [this, now](const auto &m) {
            const auto found = m_byFlow.find(m.flow);
            if (found != m_byFlow.end())
                on(m_feeds[found->second], m, now);
            else
                ++m_counts["strayMessages"];
        },
        message);
}

void Feeds::on(Feed &feed, const AcceptFlow &message, TimePoint now)
{
    if (feed.state == State::Open) {
        // A retransmitted open reached another target; close the duplicate flow there.
        if (message.token.target != feed.token.target) {
            ++m_counts["copiesClosed"];
            m_send(FlowMessage{CloseFlow{feed.flow, message.token}});
        } else if (feed.token.epoch < message.token.epoch) {
            feed.token = message.token; // Token renewed under a newer key epoch.
        }
        return;
    }
    ++m_counts["opened"];
    feed.state = State::Open;
    feed.token = message.token;
    feed.unanswered = 0;
    feed.nextSend = now;
    feed.nextData = now;
}

void Feeds::on(Feed &feed, const RefuseFlow &message, TimePoint now)
{
    if (feed.state != State::Opening)
        return;
    ++m_counts["refused"];
    ++m_counts["refused_" + std::to_string(static_cast<int>(message.cause))];
    feed.nextSend = std::max(feed.nextSend, now + message.retryAfter);
}

void Feeds::on(Feed &feed, const FlowData &message, TimePoint)
{
    const bool push = message.payload.starts_with(m_pushPrefix);
    const bool echo = message.payload.starts_with(std::to_string(feed.flow.value()) + ' ');
    if (!push && !echo)
        ++m_counts["wrongData"];
    ++m_counts[push ? "pushes" : "echoes"];
}

void Feeds::on(Feed &feed, const KeepAliveAck &, TimePoint)
{
    feed.unanswered = 0;
}

void Feeds::on(Feed &feed, const ResetFlow &message, TimePoint now)
{
    if (feed.state != State::Open)
        return;
    broke(feed, "reset" + std::to_string(static_cast<int>(message.cause)),
          now + message.reopenAfter);
}

void Feeds::broke(Feed &feed, const std::string &why, TimePoint reopenAt)
{
    ++m_counts["broken"];
    ++m_counts["broken_" + why];
    openAgain(feed, reopenAt);
}

void Feeds::closeAll()
{
    for (Feed &feed : m_feeds) {
        if (feed.state == State::Open)
            m_send(FlowMessage{CloseFlow{feed.flow, feed.token}});
    }
    m_feeds.clear();
    m_byFlow.clear();
}

std::size_t Feeds::openCount() const
{
    return static_cast<std::size_t>(
        std::count_if(m_feeds.begin(), m_feeds.end(),
                      [](const Feed &feed) { return feed.state == State::Open; }));
}

boost::json::object Feeds::stats() const
{
    boost::json::object out = boost::json::value_from(m_counts).as_object();
    out["open"] = openCount();
    out["wanted"] = m_settings.feeds;
    return out;
}

} // namespace baobabtrail::standins
