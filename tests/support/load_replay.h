#pragma once

#include "support/direct_cluster.h"

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <set>

namespace baobabtrail::test {

/// \brief Parameters of a LoadReplay.
struct LoadPattern
{
    std::size_t daemons = 6;
    std::size_t targets = 12;
    std::uint32_t slots = 3;
    std::size_t queue = 12; ///< Queue length of a target; it sheds further requests.
    Duration work = 50ms;   ///< Mean service time of a request.
    Duration latency = 250ms;
    Duration timeout = 2500ms;
    double load = 1.0;             ///< Offered load, relative to the capacity of the slots.
    double urgentShare = 0;        ///< Share of requests on a route of higher priority.
    bool heldBack = true;          ///< Whether daemons hold requests back under overload.
    std::size_t silentTargets = 0; ///< Stop answering when the measurement begins.
};

/// \brief Outcomes of the requests that began during the measurement.
struct LoadResult
{
    std::size_t asked = 0;
    std::size_t inTime = 0;
    std::size_t late = 0;
    std::size_t held = 0;  ///< First segments that were held back.
    std::size_t twice = 0; ///< Requests that ran more than once.

    [[nodiscard]] double shareInTime() const noexcept
    {
        return static_cast<double>(inTime) / static_cast<double>(std::max<std::size_t>(asked, 1));
    }
};

/// \brief Simulates callers with long-lived flows and targets with slots and bounded queues in
/// virtual time; real DirectNodes make the decisions.
///
/// \code
/// LoadReplay replay{{.load = 1.5}, 1};
/// cr_assert(replay.run().shareInTime() > 0.5);
/// \endcode
class LoadReplay
{
public:
    LoadReplay(const LoadPattern &pattern, std::uint64_t seed)
        : m_pattern(pattern)
        , m_random(seed)
        , m_targets(pattern.targets)
        , m_cluster(
              pattern.daemons, pattern.daemons, seed,
              [this](std::size_t index, DirectCallbacks &callbacks) {
                  setCallbacks(index, callbacks);
              },
              settingsOf(pattern))
    {
        for (std::size_t id = 1; id <= pattern.targets; ++id)
            m_cluster.store.put(DirectCluster::targetKey(id), "x ready");
    }

    /// \brief After two seconds to start, runs two seconds of low load, then \a span of the
    /// pattern's load, which is measured.
    LoadResult run(Duration span = 6s)
    {
        VirtualTime &time = m_cluster.time;
        time.run(2s);
        const TimePoint begin = time.now() + 2s;
        askLater(begin, QuietLoad);
        time.runUntil(begin);
        for (std::size_t id = 0; id < m_pattern.silentTargets; ++id)
            m_targets[id].silent = true;
        askLater(begin + span, m_pattern.load);
        m_measuring = true;
        time.runUntil(begin + span);
        m_measuring = false;
        time.run(m_pattern.timeout);
        return m_result;
    }

    /// \return The result of the route of higher priority alone.
    [[nodiscard]] const LoadResult &urgent() const noexcept { return m_urgent; }
    /// \return Upper bound of the share in time: every slot of the remaining targets always in use.
    [[nodiscard]] double slotsAllow() const noexcept
    {
        const double left = static_cast<double>(m_pattern.targets - m_pattern.silentTargets)
                            / static_cast<double>(m_pattern.targets);
        return std::min(1.0, left / m_pattern.load);
    }
    [[nodiscard]] DirectCluster &cluster() noexcept { return m_cluster; }

private:
    static constexpr double QuietLoad = 0.4;
    static constexpr Duration Hop = 2ms;
    static constexpr Duration AcknowledgedAfter = 20ms;
    static constexpr Duration ResentAfter = 200ms;
    static constexpr double WorkSpread = 0.5;
    static constexpr int MaxRetries = 2;
    static constexpr std::uint16_t RequestBytes = 100;
    static constexpr Endpoint Plain{0xC6120001, 443};
    static constexpr Endpoint Urgent{0xC6120001, 8443};

    struct Flow
    {
        FlowKey key;
        std::size_t daemon = 0;
        std::size_t target = 0; ///< Index.
        FlowLabel label;
        std::uint32_t sent = 1001;
        std::uint32_t received = 1;
        std::uint64_t request = 0; ///< Pending request; 0 for none.
        bool reached = false;      ///< The target has the request.
    };
    struct Request
    {
        std::size_t flow = 0;
        TimePoint begunAt;
        bool measured = false;
        bool urgent = false;
        int tries = 0;
    };
    struct Target
    {
        bool silent = false;
        std::size_t busy = 0;
        std::deque<std::uint64_t> waiting;
        std::set<std::uint64_t> ran;
    };

    [[nodiscard]] static DirectNodeSettings settingsOf(const LoadPattern &pattern)
    {
        DirectNodeSettings settings;
        settings.flows.overload.hold = pattern.heldBack;
        return settings;
    }

    void setCallbacks(std::size_t index, DirectCallbacks &callbacks)
    {
        callbacks.reader.routes
            = [this](const StoredObject &object) -> std::variant<RouteTable, DirectoryFinding> {
            RouteTable table;
            table.version = std::stoull(object.value);
            const ServiceId service = serviceId("x", "x");
            table.serviceNames[service] = "x";
            for (const Endpoint &address : {Plain, Urgent}) {
                RequestPolicy promise;
                promise.priority = address == Urgent ? 1 : 2;
                promise.latency = m_pattern.latency;
                promise.timeout = m_pattern.timeout;
                table.routes[address] = Route{"r", address, {{service, 1}}, promise};
            }
            return table;
        };
        callbacks.reader.target
            = [this, read = callbacks.reader.target](
                  const StoredObject &object) -> std::variant<RegisteredTarget, DirectoryFinding> {
            auto result = read(object);
            RegisteredTarget &target = std::get<RegisteredTarget>(result);
            target.slots = m_pattern.slots;
            target.domain = "d" + std::to_string(target.id.value() % 3);
            return result;
        };
        callbacks.observer.decided = [this](const SegmentDecision &decision) {
            m_result.held += m_measuring && decision.cause == SegmentCause::Held;
        };
        callbacks.applyVerdict
            = [this](const Segment &segment, const std::string &, const SegmentVerdict &verdict) {
                  carried(segment, verdict);
              };
        (void)index;
    }

    // Callers.

    void askLater(TimePoint end, double load)
    {
        const double perSecond = load * static_cast<double>(m_pattern.targets * m_pattern.slots)
                                 / std::chrono::duration<double>(m_pattern.work).count();
        boost::random::exponential_distribution<double> draw{perSecond};
        const auto wait = std::chrono::duration<double>(draw(m_random));
        m_cluster.time.after(std::chrono::duration_cast<Duration>(wait), [this, end, load] {
            if (m_cluster.time.now() >= end)
                return;
            ask();
            askLater(end, load);
        });
    }

    void ask()
    {
        boost::random::uniform_int_distribution<int> percent{0, 99};
        const bool urgent = percent(m_random) < m_pattern.urgentShare * 100;
        const std::uint64_t id = ++m_lastRequest;
        m_requests[id] = {idleFlow(urgent), m_cluster.time.now(), m_measuring, urgent};
        if (m_measuring) {
            ++m_result.asked;
            m_urgent.asked += urgent;
        }
        send(id);
        m_cluster.time.after(m_pattern.timeout, [this, id] { abandon(id); });
    }

    /// \return A random open flow without a pending request, or a new flow if there is none.
    std::size_t idleFlow(bool urgent)
    {
        std::vector<std::size_t> idle;
        for (std::size_t index = 0; index < m_flows.size(); ++index) {
            const Flow &flow = m_flows[index];
            if (flow.request == 0 && (flow.key.service == Urgent) == urgent)
                idle.push_back(index);
        }
        if (!idle.empty()) {
            boost::random::uniform_int_distribution<std::size_t> draw{0, idle.size() - 1};
            return idle[draw(m_random)];
        }
        return openFlow(urgent);
    }

    std::size_t openFlow(bool urgent)
    {
        Flow flow;
        const auto number = static_cast<std::uint32_t>(m_flows.size());
        flow.key = {{0x64400000U + number, 1024}, urgent ? Urgent : Plain};
        flow.daemon = number % m_cluster.size();
        Segment opening;
        opening.flow = flow.key;
        opening.sequence = flow.sent - 1;
        opening.opens = true;
        const auto verdict = m_cluster.node(flow.daemon)->handle(opening, "");
        const auto &placed = std::get<DeliverSegment>(*verdict);
        flow.target = placed.target.value() - 1;
        flow.label = placed.label;
        m_flows.push_back(flow);
        return m_flows.size() - 1;
    }

    [[nodiscard]] Segment segmentOf(const Flow &flow, std::uint16_t length) const
    {
        Segment segment;
        segment.flow = flow.key;
        segment.sequence = flow.sent;
        segment.acknowledged = flow.received;
        segment.label = flow.label;
        segment.length = length;
        return segment;
    }

    void pass(const Flow &flow, const Segment &segment)
    {
        if (const auto verdict = m_cluster.node(flow.daemon)->handle(segment, "request"))
            carried(segment, *verdict);
    }

    void send(std::uint64_t id)
    {
        const std::size_t index = m_requests.at(id).flow;
        m_flows[index].request = id;
        m_flows[index].reached = false;
        pass(m_flows[index], segmentOf(m_flows[index], RequestBytes));
        resendLater(id, ResentAfter);
    }

    void resendLater(std::uint64_t id, Duration wait)
    {
        m_cluster.time.after(wait, [this, id, wait] {
            const auto found = m_requests.find(id);
            if (found == m_requests.end())
                return;
            const Flow &flow = m_flows[found->second.flow];
            if (flow.request != id || flow.reached)
                return;
            pass(flow, segmentOf(flow, RequestBytes));
            resendLater(id, 2 * wait);
        });
    }

    void abandon(std::uint64_t id)
    {
        const auto found = m_requests.find(id);
        if (found == m_requests.end())
            return;
        Flow &flow = m_flows[found->second.flow];
        Segment abort = segmentOf(flow, 0);
        abort.aborts = true;
        pass(flow, abort);
        // The flow ends with its request; its entry is never reused.
        m_requests.erase(found);
    }

    // Targets.

    void carried(const Segment &segment, const SegmentVerdict &verdict)
    {
        if (!std::holds_alternative<DeliverSegment>(verdict) || segment.length == 0)
            return;
        const std::size_t number = segment.flow.caller.address - 0x64400000U;
        m_cluster.time.after(Hop, [this, number] { arrive(number); });
    }

    void arrive(std::size_t index)
    {
        Flow &flow = m_flows[index];
        Target &target = m_targets[flow.target];
        if (target.silent || flow.request == 0 || flow.reached)
            return;
        flow.reached = true;
        const std::uint64_t id = flow.request;
        if (target.busy < m_pattern.slots) {
            work(flow.target, id);
        } else if (target.waiting.size() < m_pattern.queue) {
            target.waiting.push_back(id);
        } else {
            m_cluster.time.after(Hop, [this, id] { answer(id, false); });
        }
    }

    void work(std::size_t index, std::uint64_t id)
    {
        Target &target = m_targets[index];
        ++target.busy;
        m_result.twice += !target.ran.insert(id).second;
        const double mean = std::chrono::duration<double>(m_pattern.work).count();
        boost::random::lognormal_distribution<double> draw{
            std::log(mean) - WorkSpread * WorkSpread / 2, WorkSpread};
        const auto took = std::chrono::duration<double>(draw(m_random));
        m_cluster.time.after(std::chrono::duration_cast<Duration>(took), [this, index, id] {
            Target &done = m_targets[index];
            --done.busy;
            if (!done.waiting.empty()) {
                const std::uint64_t next = done.waiting.front();
                done.waiting.pop_front();
                work(index, next);
            }
            if (!done.silent)
                m_cluster.time.after(Hop, [this, id] { answer(id, true); });
        });
    }

    void answer(std::uint64_t id, bool ran)
    {
        const auto found = m_requests.find(id);
        if (found == m_requests.end())
            return;
        const std::size_t index = found->second.flow;
        Flow &flow = m_flows[index];
        flow.sent += RequestBytes;
        flow.received += RequestBytes;
        flow.request = 0;
        acknowledgeLater(index, flow.received);
        if (!ran && found->second.tries++ < MaxRetries) {
            found->second.flow = idleFlow(found->second.urgent);
            send(id);
            return;
        }
        const Request request = found->second;
        m_requests.erase(found);
        if (!request.measured || !ran)
            return;
        const bool inTime = m_cluster.time.now() - request.begunAt <= m_pattern.latency;
        ++(inTime ? m_result.inTime : m_result.late);
        m_urgent.inTime += inTime && request.urgent;
    }

    void acknowledgeLater(std::size_t index, std::uint32_t received)
    {
        m_cluster.time.after(AcknowledgedAfter, [this, index, received] {
            const Flow &flow = m_flows[index];
            if (flow.received == received && flow.request == 0)
                pass(flow, segmentOf(flow, 0));
        });
    }

    LoadPattern m_pattern;
    Random m_random;
    std::vector<Target> m_targets;
    DirectCluster m_cluster;
    std::vector<Flow> m_flows;
    std::map<std::uint64_t, Request> m_requests;
    std::uint64_t m_lastRequest = 0;
    bool m_measuring = false;
    LoadResult m_result;
    LoadResult m_urgent;
};

} // namespace baobabtrail::test
