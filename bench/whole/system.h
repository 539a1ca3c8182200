#pragma once

#include "support/free_ports.h"
#include "support/http.h"
#include "support/process.h"
#include "support/temporary_directory.h"
#include "support/wait_until.h"
#include "whole/plan.h"

#include <boost/asio/ip/udp.hpp>

#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <thread>

namespace baobabtrail::bench {

using boost::beast::http::verb;
using test::callHttp;
using test::getJson;
using test::Ports;
using test::Process;
using test::waitUntil;

[[nodiscard]] inline std::string local(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

/// \brief A deployment as real processes on loopback.
class System
{
public:
    /// \param daemonProgram baobabtraild or the baseline, bench-random-daemon.
    System(DeploymentPlan plan, const RunPlan &run, std::string daemonProgram)
        : m_plan(std::move(plan))
        , m_daemonProgram(std::move(daemonProgram))
    {
        m_directory.writeSecret("cluster.secret", std::string(40, 's'));
        m_directory.writeSecret("operator.key", std::string(40, 'o'));
        for (std::size_t i = 0; i < m_plan.daemons; ++i)
            m_daemons.push_back(startDaemon(i + 1, i));
        startTargets(run);
        waitUntil("the views", [this] { return membersSeen() == membersToSee(); });
        declare();
    }

    System(const System &) = delete;
    System &operator=(const System &) = delete;

    /// \brief Runs a statement with baobabctl, which may send it to any daemon.
    /// \return Exit status of baobabctl.
    int control(const std::string &statement, const std::string &changeId = {})
    {
        std::string daemons;
        for (const Daemon &daemon : m_daemons)
            daemons += (daemons.empty() ? "" : ",") + local(daemon.ports.at(3));
        std::vector<std::string> arguments{"--key_file=" + file("operator.key"),
                                           "--daemons=" + daemons, "--timeout_seconds=15"};
        if (!changeId.empty())
            arguments.push_back("--change_id=" + changeId);
        arguments.push_back(statement);
        return Process{"baobabctl", std::move(arguments), Process::Output::Hidden}.waitForEnd();
    }

    /// \brief Ends a daemon and starts another one in its failure domain.
    /// \param signal SIGTERM, after which the fabric removes the daemon immediately, or SIGKILL,
    /// after which the fabric keeps sending packets to it for a second.
    void replaceDaemon(std::size_t index, int signal)
    {
        using namespace std::chrono_literals;
        Daemon &old = m_daemons.at(index);
        old.process->send(signal);
        if (signal == SIGKILL)
            std::this_thread::sleep_for(1s);
        setMember(verb::delete_, old.ports);
        old.process->waitForEnd();
        callHttp(verb::delete_, platformPort(), "/control/vms/" + std::to_string(old.id));
        m_daemons[index] = startDaemon(100 + index, index);
    }

    void setPlatformDown(bool down)
    {
        callHttp(verb::put, platformPort(), "/control/switches",
                 boost::json::serialize(boost::json::value{{"down", down}}));
    }

    void setServiceTime(std::size_t service, std::size_t target, std::chrono::microseconds time)
    {
        callHttp(verb::put, m_targets.at(service).at(target)->ports().at("control"), "/switches",
                 boost::json::serialize(boost::json::value{{"serviceMicroseconds", time.count()}}));
    }

    [[nodiscard]] boost::json::object targetStats(std::size_t service, std::size_t target) const
    {
        return getJson(m_targets.at(service).at(target)->ports().at("control"), "/stats")
            .as_object();
    }

    /// \return Sum of a counter over all daemons, by labels.
    void addMetrics(const std::string &family, std::map<std::string, double> &sums) const
    {
        for (const Daemon &daemon : m_daemons) {
            std::istringstream page{callHttp(verb::get, daemon.ports.at(3), "/metrics")};
            for (std::string line; std::getline(page, line);) {
                const auto space = line.rfind(' ');
                if (line.starts_with(family) && space != std::string::npos)
                    sums[line.substr(0, space)] += std::stod(line.substr(space + 1));
            }
        }
    }

    [[nodiscard]] std::size_t targets(std::size_t service) const
    {
        return m_targets.at(service).size();
    }

    [[nodiscard]] std::string callersAddress() const
    {
        return local(m_fabric.ports().at("callers"));
    }

    [[nodiscard]] const DeploymentPlan &plan() const noexcept { return m_plan; }

private:
    struct Daemon
    {
        std::size_t id = 0;
        Ports ports; ///< Data, peer, records and administration ports, in this order.
        std::unique_ptr<Process> process;
    };

    [[nodiscard]] std::string file(const std::string &name) const { return m_directory.file(name); }
    [[nodiscard]] std::uint16_t platformPort() const { return m_platform.ports().at("http"); }

    [[nodiscard]] const std::string &domainOf(std::size_t index) const
    {
        return m_plan.domains.at(index % m_plan.domains.size());
    }

    /// \return Sum over all daemons of the members that each sees in its own failure domain.
    [[nodiscard]] double membersSeen() const
    {
        std::map<std::string, double> sums;
        addMetrics("baobabtrail_members_alive", sums);
        return sums["baobabtrail_members_alive"];
    }
    [[nodiscard]] double membersToSee() const
    {
        std::map<std::string, double> sizes;
        for (std::size_t i = 0; i < m_plan.daemons; ++i)
            ++sizes[domainOf(i)];
        double sum = 0;
        for (const auto &[domain, size] : sizes)
            sum += size * size;
        return sum;
    }

    [[nodiscard]] Daemon startDaemon(std::size_t id, std::size_t place)
    {
        Daemon daemon{id, test::freePorts(4), nullptr};
        const std::string name = std::to_string(id);
        const std::string &domain = domainOf(place);
        const boost::json::value settings{
            {"daemon", id},
            {"domain", domain},
            {"addresses",
             {{"data", local(daemon.ports.at(0))},
              {"peer", local(daemon.ports.at(1))},
              {"records", local(daemon.ports.at(2))},
              {"administration", local(daemon.ports.at(3))}}},
            {"fabric", boost::json::array{"127.0.0.1"}},
            {"platform", {{"address", local(platformPort())}}},
            {"clusterSecretFile", file("cluster.secret")},
            {"administration", {{"operatorKeyFile", file("operator.key")}}}};
        std::ofstream{file(name + ".json")} << boost::json::serialize(settings);
        const boost::json::value vm{{"domain", domain},
                                    {"address", local(daemon.ports.at(1))},
                                    {"records", local(daemon.ports.at(2))}};
        callHttp(verb::put, platformPort(), "/control/vms/" + name, boost::json::serialize(vm));
        daemon.process = std::make_unique<Process>(
            m_daemonProgram, std::vector{"--settings=" + file(name + ".json")},
            Process::Output::Hidden);
        waitUntil("daemon " + name, [&] {
            callHttp(verb::get, daemon.ports.at(3), "/healthz");
            return true;
        });
        setMember(verb::put, daemon.ports);
        return daemon;
    }

    void setMember(verb how, const Ports &ports)
    {
        callHttp(how, m_fabric.ports().at("control"), "/members/" + local(ports.at(0)));
    }

    void startTargets(const RunPlan &run)
    {
        for (const ServicePlan &service : m_plan.services) {
            auto &targets = m_targets.emplace_back();
            for (std::size_t i = 0; i < service.targets; ++i) {
                targets.push_back(std::make_unique<Process>(
                    "standin-target",
                    std::vector<std::string>{
                        "--tenant=" + m_plan.workspace, "--service=" + service.name,
                        "--name=t" + std::to_string(i + 1), "--seed=" + std::to_string(i + 1),
                        "--slots=" + std::to_string(service.slots), "--queue=4", "--push_ms=10000",
                        "--max_flows=8000",
                        "--service_us=" + std::to_string(run.serviceTime.count()),
                        "--uplink=" + local(m_fabric.ports().at("uplink"))}));
            }
        }
    }

    void declare()
    {
        std::string change
            = "declare tenant " + m_plan.workspace + " key-hash " + std::string(64, 'a');
        for (std::size_t s = 0; s < m_plan.services.size(); ++s) {
            const ServicePlan &service = m_plan.services[s];
            const std::string name = m_plan.workspace + '/' + service.name;
            change += "; declare service " + name;
            for (std::size_t i = 0; i < service.targets; ++i) {
                const auto &ports = m_targets[s][i]->ports();
                change += "; add target " + name + "/t" + std::to_string(i + 1) + " domain "
                          + domainOf(i) + " flows " + local(ports.at("flows")) + " requests "
                          + local(ports.at("requests")) + " slots " + std::to_string(service.slots);
            }
        }
        waitUntil("the declaration", [&] { return control(change, "declare") == 0; });
        waitUntil("its revision",
                  [&] { return control("wait for change declare timeout 15s") == 0; });
    }

    DeploymentPlan m_plan;
    std::string m_daemonProgram;
    test::TemporaryDirectory m_directory;
    Process m_platform{"standin-platform", {"--vm_lag_ms=500"}};
    Process m_fabric{"standin-fabric", {}};
    std::vector<Daemon> m_daemons;
    std::vector<std::vector<std::unique_ptr<Process>>> m_targets; ///< By service.
};

} // namespace baobabtrail::bench
