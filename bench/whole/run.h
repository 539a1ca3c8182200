#pragma once

#include "whole/system.h"

#include <algorithm>
#include <atomic>
#include <cmath>
#include <iostream>
#include <numeric>

namespace baobabtrail::bench {

/// \brief Results of one run of a deployment.
struct Report
{
    std::int64_t flowsOpened = 0;
    std::int64_t flowsOpen = 0;
    std::int64_t flowsBroken = 0;
    std::int64_t wrongData = 0;
    std::int64_t sent = 0;
    std::int64_t answered = 0;
    std::int64_t notRun = 0;
    std::int64_t unknown = 0;
    double weightSent = 0;     ///< Urgent requests count double.
    double weightAnswered = 0; ///< Urgent requests count double.
    std::int64_t duplicates = 0;
    double requestImbalance = 0; ///< Median over all seconds of maximum over mean, main service.
    double flowImbalance = 0;    ///< The same for open connections.
    double p50 = 0;              ///< Milliseconds, main service.
    double p99 = 0;
    double p999 = 0;
    std::vector<double> timesToForce; ///< Seconds from the command until the wait for it returned.
};

/// \brief Runs one deployment under load, with the changes and failures of an hour in 40 s.
class Run
{
public:
    Run(const DeploymentPlan &plan, const RunPlan &run, const std::string &daemonProgram)
        : m_run(run)
        , m_system(plan, run, daemonProgram)
    {
    }

    [[nodiscard]] Report operator()()
    {
        startCallers();
        m_start = std::chrono::steady_clock::now();
        for (std::size_t second = 1; second < static_cast<std::size_t>(m_run.traffic.count());
             ++second) {
            std::this_thread::sleep_until(m_start + std::chrono::seconds{second});
            act(second);
            sample();
        }
        collect();
        return m_report;
    }

private:
    struct Caller
    {
        std::size_t service = 0;
        std::unique_ptr<Process> process;
    };
    static constexpr std::size_t CallersOfMain = 4;

    void startCallers()
    {
        const auto &services = m_system.plan().services;
        for (std::size_t s = 0; s < services.size(); ++s) {
            const std::size_t callers = s == 0 ? CallersOfMain : 1;
            for (std::size_t i = 0; i < callers; ++i)
                startCaller(s, callers, 1 + s * 100 + i, m_run.traffic, services[s].load, true);
        }
    }

    void startCaller(std::size_t service, std::size_t callers, std::size_t seed,
                     std::chrono::seconds traffic, double load, bool feeds)
    {
        const ServicePlan &plan = m_system.plan().services[service];
        const double perSlot = 1e6 / static_cast<double>(m_run.serviceTime.count());
        const double slots = static_cast<double>(plan.targets) * plan.slots;
        const double rate = load * slots * perSlot / static_cast<double>(callers);
        const double connections
            = static_cast<double>(plan.targets) * plan.connectionsPerTarget * m_run.scale;
        const auto count = static_cast<std::int64_t>(connections / static_cast<double>(callers));
        m_callers.push_back(
            {service,
             std::make_unique<Process>(
                 "standin-caller",
                 std::vector<std::string>{
                     "--tenant=" + m_system.plan().workspace, "--service=" + plan.name,
                     "--request_class=" + plan.requestClass, "--rate=" + std::to_string(rate),
                     "--feeds=" + std::to_string(feeds ? count : 0),
                     "--keepalive_ms=" + std::to_string(m_run.keepAlive.count()), "--data_ms=20000",
                     "--seconds=" + std::to_string(traffic.count()),
                     "--seed=" + std::to_string(seed), "--fabric=" + m_system.callersAddress()})});
    }

    /// \brief Applies the changes and failures that are scheduled for this second.
    void act(std::size_t second)
    {
        const std::string main = m_system.plan().workspace + '/' + m_system.plan().services[0].name;
        using namespace std::chrono_literals;
        switch (second) {
        case 6:
            return change("drain target " + main + "/t1", "drain");
        case 9:
            return m_system.replaceDaemon(0, SIGTERM);
        case 13:
            return m_system.replaceDaemon(4, SIGKILL);
        case 17:
            return m_system.setPlatformDown(true);
        case 22:
            return m_system.setPlatformDown(false);
        case 24:
            return m_system.setServiceTime(0, 1, 5 * m_run.serviceTime);
        case 27:
            return m_system.setServiceTime(0, 1, m_run.serviceTime);
        case 29:
            return change("undrain target " + main + "/t1", "undrain");
        case 32:
            return startCaller(0, 1, 999, 3s, 1.0, false); // more than the targets can handle
        default:
            return;
        }
    }

    void change(const std::string &statement, const std::string &id)
    {
        const auto began = std::chrono::steady_clock::now();
        if (m_system.control(statement, id) != 0
            || m_system.control("wait for change " + id + " timeout 10s") != 0)
            throw std::runtime_error("change " + id + " did not come into force");
        const std::chrono::duration<double> took = std::chrono::steady_clock::now() - began;
        m_report.timesToForce.push_back(took.count());
    }

    void sample()
    {
        std::vector<double> held;
        std::vector<double> flows;
        for (std::size_t i = 0; i < m_system.targets(0); ++i) {
            const auto stats = m_system.targetStats(0, i);
            held.push_back(stats.at("running").to_number<double>()
                           + stats.at("queued").to_number<double>());
            flows.push_back(stats.at("flows").to_number<double>());
        }
        addImbalance(held, m_requestSamples);
        addImbalance(flows, m_flowSamples);
    }

    static void addImbalance(const std::vector<double> &values, std::vector<double> &samples)
    {
        const double sum = std::accumulate(values.begin(), values.end(), 0.0);
        if (sum > 0)
            samples.push_back(*std::max_element(values.begin(), values.end())
                              * static_cast<double>(values.size()) / sum);
    }

    [[nodiscard]] static double median(std::vector<double> values)
    {
        if (values.empty())
            return 0;
        std::sort(values.begin(), values.end());
        return values[values.size() / 2];
    }

    /// \brief Prints by cause how many flows were reset or refused and how many requests didn't
    /// run, from the daemons' counters.
    void explain() const
    {
        std::map<std::string, double> sums;
        for (const char *family :
             {"baobabtrail_flow_resets_total", "baobabtrail_flow_refusals_total",
              "baobabtrail_request_refusals_total", "baobabtrail_flows_total",
              "baobabtrail_send_drops_total", "baobabtrail_rejects_total",
              "baobabtrail_events_total"})
            m_system.addMetrics(family, sums);
        for (const auto &[name, sum] : sums) {
            if (sum > 0)
                std::cerr << name << ' ' << sum << '\n';
        }
    }

    void collect()
    {
        explain();
        std::size_t mainCallers = 0;
        for (Caller &caller : m_callers) {
            const std::string line = caller.process->readLine();
            // Reads the ids of all requests that follow; unread, they would fill the pipe and block
            // the caller.
            while (!caller.process->readLine().empty())
                continue;
            caller.process->waitForEnd();
            const auto stats = boost::json::parse(line).as_object();
            add(stats, caller.service);
            if (caller.service != 0 || ++mainCallers > CallersOfMain)
                continue;
            const auto &latency = stats.at("requests").at("latencyMs");
            m_report.p50 += latency.at("p50").to_number<double>() / CallersOfMain;
            m_report.p99 += latency.at("p99").to_number<double>() / CallersOfMain;
            m_report.p999 = std::max(m_report.p999, latency.at("p99.9").to_number<double>());
        }
        for (std::size_t s = 0; s < m_system.plan().services.size(); ++s) {
            for (std::size_t i = 0; i < m_system.targets(s); ++i)
                m_report.duplicates
                    += m_system.targetStats(s, i).at("twice").to_number<std::int64_t>();
        }
        m_report.requestImbalance = median(m_requestSamples);
        m_report.flowImbalance = median(m_flowSamples);
    }

    void add(const boost::json::object &stats, std::size_t service)
    {
        const auto number = [&stats](const char *part, const char *name) {
            const auto &object = stats.at(part).as_object();
            const auto *found = object.if_contains(name);
            return found ? found->to_number<std::int64_t>() : 0;
        };
        m_report.flowsOpened += number("flows", "opened");
        m_report.flowsOpen += number("flows", "open");
        m_report.flowsBroken += number("flows", "broken");
        m_report.wrongData += number("flows", "wrongData");
        m_report.sent += number("requests", "sent");
        m_report.answered += number("requests", "answered");
        m_report.notRun += number("requests", "notRun");
        m_report.unknown += number("requests", "unknown") + number("requests", "timedOut");
        const double weight = m_system.plan().services[service].requestClass == "urgent" ? 2 : 1;
        m_report.weightSent += weight * static_cast<double>(number("requests", "sent"));
        m_report.weightAnswered += weight * static_cast<double>(number("requests", "answered"));
    }

    RunPlan m_run;
    System m_system;
    std::chrono::steady_clock::time_point m_start;
    std::vector<Caller> m_callers;
    std::vector<double> m_requestSamples;
    std::vector<double> m_flowSamples;
    Report m_report;
};

} // namespace baobabtrail::bench
