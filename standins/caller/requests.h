#pragma once

#include "caller/caller_settings.h"
#include "core/messages/request.h"
#include "core/random.h"

#include <boost/json.hpp>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace baobabtrail::standins {

/// \brief Open-loop request generator: starts requests at a given rate, whatever the outcome of
/// earlier ones.
class Requests
{
public:
    using Send = std::function<void(const CallerMessage &)>;

    Requests(const CallerSettings &settings, Random &random, Send send, TimePoint now);

    void tick(TimePoint now);
    void receive(const RequestMessage &message, TimePoint now);
    /// \brief Stops starting requests; pending ones go on.
    void stop() noexcept { m_stopped = true; }

    [[nodiscard]] std::size_t pending() const noexcept { return m_pending; }
    [[nodiscard]] boost::json::object stats() const;
    /// \return Ids of the answered requests and of those refused as not run.
    [[nodiscard]] boost::json::object ids() const;

private:
    enum class State { Reserving, Sent, Answered, NotRun, Unknown, TimedOut };
    struct Entry
    {
        State state = State::Reserving;
        ReservationToken token;
        std::uint32_t attempt = 0;
        std::string payload;
        TimePoint started;
        TimePoint deadline;
        TimePoint nextSend;
        Duration retransmission{0};
        std::vector<std::optional<std::string>> parts;
    };

    /// \return Whether the request still waits for its outcome.
    [[nodiscard]] static bool isOpen(const Entry &entry) noexcept;
    void start(TimePoint now);
    void send(const RequestId &id, Entry &entry, TimePoint now);
    void finish(Entry &entry, State state, const char *counter);
    void on(Entry &entry, const Reserved &message, TimePoint now);
    void on(Entry &entry, const Answer &message, TimePoint now);
    void on(Entry &entry, const NotRun &message, TimePoint now);
    void on(Entry &entry, const OutcomeUnknown &message, TimePoint now);
    template <typename Other>
    void on(Entry &, const Other &, TimePoint)
    {
    }
    [[nodiscard]] bool isAnswerTo(const RequestId &id, const Entry &entry) const;

    const CallerSettings &m_settings;
    Random &m_random;
    Send m_send;
    TimePoint m_nextStart;
    bool m_stopped = false;
    std::size_t m_pending = 0;
    std::unordered_map<RequestId, Entry> m_entries; ///< Never erased, to check late messages.
    std::vector<RequestId> m_active;
    std::map<std::string, std::uint64_t> m_counts;
    std::vector<double> m_latencies; ///< Milliseconds, of answered requests.
};

} // namespace baobabtrail::standins
