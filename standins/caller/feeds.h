#pragma once

#include "caller/caller_settings.h"
#include "core/messages/flow.h"
#include "core/random.h"

#include <boost/json.hpp>

#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace baobabtrail::standins {

/// \brief Long-lived flows that stay open while the caller runs.
class Feeds
{
public:
    using Send = std::function<void(const CallerMessage &)>;

    Feeds(const CallerSettings &settings, Random &random, Send send);

    /// \brief Sends the opens, data and keep-alives that are due.
    void tick(TimePoint now);
    void receive(const FlowMessage &message, TimePoint now);
    void closeAll();

    [[nodiscard]] boost::json::object stats() const;
    [[nodiscard]] std::size_t openCount() const;

private:
    enum class State { Opening, Open };
    struct Feed
    {
        State state = State::Opening;
        FlowId flow;
        FlowId resumes;
        std::uint32_t attempt = 0;
        FlowToken token;
        TimePoint nextSend; ///< Time of the next OpenFlow, or KeepAlive once open.
        Duration retransmission{0};
        TimePoint nextData;
        std::uint32_t unanswered = 0;
        std::uint64_t sent = 0;
    };

    void openAgain(Feed &feed, TimePoint now);
    void sendOpen(Feed &feed, TimePoint now);
    void sendInFlow(Feed &feed, TimePoint now);
    [[nodiscard]] FlowId newFlow();

    void on(Feed &feed, const AcceptFlow &message, TimePoint now);
    void on(Feed &feed, const RefuseFlow &message, TimePoint now);
    void on(Feed &feed, const FlowData &message, TimePoint now);
    void on(Feed &feed, const KeepAliveAck &message, TimePoint now);
    void on(Feed &feed, const ResetFlow &message, TimePoint now);
    template <typename Other>
    void on(Feed &, const Other &, TimePoint)
    {
    }
    void broke(Feed &feed, const std::string &why, TimePoint reopenAt);

    const CallerSettings &m_settings;
    Random &m_random;
    Send m_send;
    std::vector<Feed> m_feeds;
    std::unordered_map<FlowId, std::size_t> m_byFlow;
    std::map<std::string, std::uint64_t> m_counts;
    std::string m_pushPrefix;
};

} // namespace baobabtrail::standins
