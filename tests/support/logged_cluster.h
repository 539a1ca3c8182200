#pragma once

#include "ctl/explain_flow.h"
#include "daemon/direct/direct_log.h"
#include "support/direct_cluster.h"
#include "support/direct_fleet.h"

#include <criterion/criterion.h>

#include <cstdio>
#include <sstream>

namespace baobabtrail::test {

/// \brief A DirectCluster whose daemons write a DirectLog, as in production, in virtual time.
class LoggedCluster
{
public:
    explicit LoggedCluster(std::size_t size, std::uint32_t linesPerSecond = 20)
        : m_linesPerSecond(linesPerSecond)
        , cluster(size, 2, 1, [this](std::size_t index, DirectCallbacks &callbacks) {
            connect(index, callbacks);
        })
    {
    }

    /// \brief Sets the latency and timeout of routes that are read from now on.
    void promise(Duration latency, Duration timeout)
    {
        m_promise.latency = latency;
        m_promise.timeout = timeout;
    }

    /// \brief Sends a segment through a daemon.
    std::optional<SegmentVerdict> send(std::size_t daemon, const Segment &segment)
    {
        return cluster.node(daemon)->handle(segment, "payload");
    }

    /// \return The label that an opening segment got; null if it was not delivered.
    FlowLabel open(std::size_t daemon, std::uint16_t caller)
    {
        const auto verdict = send(daemon, DirectFleet::opening(caller));
        const auto *deliver = verdict ? std::get_if<DeliverSegment>(&*verdict) : nullptr;
        return deliver ? deliver->label : FlowLabel{};
    }

    /// \return What baobabctl prints to explain a caller's flow.
    [[nodiscard]] std::string explanation(std::uint16_t caller) const
    {
        std::istringstream log{m_text};
        std::ostringstream out;
        (void)ctl::explainFlow(log, toString(DirectFleet::opening(caller).flow.caller), out);
        return out.str();
    }

    [[nodiscard]] const std::string &text() const noexcept { return m_text; }
    [[nodiscard]] std::uint64_t leftOut(std::size_t daemon) { return m_logs.at(daemon)->leftOut(); }

private:
    void connect(std::size_t index, DirectCallbacks &callbacks)
    {
        auto &log = m_logs[index];
        log = std::make_unique<daemon::DirectLog>(
            m_linesPerSecond,
            [this, index](const daemon::LogEvent &event) { write(index, event); });
        const auto now = callbacks.feed.now;
        log->started("d" + std::to_string(index), "d" + std::to_string(index % 3), {}, {});
        callbacks.observer.decided = [this, index, now](const SegmentDecision &decision) {
            m_logs[index]->write(decision, *cluster.node(index), now());
        };
        callbacks.observer.stateChanged = [this, index, now](const TargetStateChange &change) {
            m_logs[index]->write(change, *cluster.node(index), now());
        };
        callbacks.reader.routes
            = [this, read = callbacks.reader.routes](const StoredObject &object) {
                  auto result = read(object);
                  if (auto *table = std::get_if<RouteTable>(&result)) {
                      for (auto &[address, route] : table->routes)
                          route.policy = m_promise;
                  }
                  return result;
              };
        callbacks.observer.saturated = [this, index, now](const SaturationChange &change) {
            m_logs[index]->write(change, *cluster.node(index), now());
        };
        callbacks.observer.planChanged = [this, index, now](const PlanChange &change) {
            m_logs[index]->write(change, *cluster.node(index), now());
        };
        callbacks.observer.measured = [this, index, now](const FlowMeasurement &measured) {
            m_logs[index]->write(measured, *cluster.node(index), now());
        };
        callbacks.onNotice
            = [this, index, now](const NodeNotice &notice) { m_logs[index]->write(notice, now()); };
        callbacks.ready = [this, index] { m_logs[index]->ready(*cluster.node(index)); };
    }

    void write(std::size_t index, const daemon::LogEvent &event)
    {
        const auto micros = cluster.time.now().time_since_epoch().count() % Duration{24h}.count();
        const auto seconds = micros / Duration{1s}.count();
        char time[64];
        (void)std::snprintf(time, sizeof time, "2026-01-01T%02ld:%02ld:%02ld.%06ldZ",
                            seconds / 3600, seconds / 60 % 60, seconds % 60,
                            micros % Duration{1s}.count());
        m_text += "edge-" + std::to_string(index) + " {\"time\":\"" + time + "\"," + event.members()
                  + "}\n";
    }

    std::uint32_t m_linesPerSecond;
    std::string m_text;
    RequestPolicy m_promise;
    std::map<std::size_t, std::unique_ptr<daemon::DirectLog>> m_logs;

public:
    DirectCluster cluster;
};

/// \brief Fails the test where the steps do not stand in the text in this order.
inline void expectInOrder(const std::string &text, const std::vector<std::string> &steps)
{
    std::size_t at = 0;
    for (const std::string &step : steps) {
        at = text.find(step, at);
        cr_assert_neq(at, std::string::npos, "'%s' is missing, or too early, in\n%s", step.c_str(),
                      text.c_str());
        at += step.size();
    }
}

} // namespace baobabtrail::test
