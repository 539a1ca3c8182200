#pragma once

/// \file
/// \brief Fixture for tests with a small deployment of real processes on loopback.

#include "support/free_ports.h"
#include "support/http.h"
#include "support/process.h"
#include "support/temporary_directory.h"
#include "support/wait_until.h"

#include <boost/asio/ip/udp.hpp>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

namespace baobabtrail::test {

/// \brief Starts the platform and fabric stand-ins, daemons of one failure domain and targets of
/// alexandria/lending. When the constructor returns, the targets are declared and in force on every
/// daemon.
class Deployment
{
public:
    Deployment(std::size_t daemons, std::size_t targets,
               const std::vector<std::string> &targetFlags)
    {
        m_directory.writeSecret("cluster.secret", std::string(40, 's'));
        m_directory.writeSecret("operator.key", std::string(40, 'o'));
        for (std::size_t i = 0; i < daemons; ++i)
            startDaemon(i);
        for (std::size_t i = 0; i < targets; ++i)
            startTarget(i, targetFlags);
        declare();
    }

    [[nodiscard]] Process &daemon(std::size_t index) { return *m_daemons.at(index); }
    [[nodiscard]] Process &target(std::size_t index) { return *m_targets.at(index); }

    void removeFromFabric(std::size_t daemon)
    {
        setMember(boost::beast::http::verb::delete_, daemon);
    }

    [[nodiscard]] std::unique_ptr<Process> startCaller(std::vector<std::string> flags)
    {
        flags.push_back("--fabric=" + local(m_fabric.ports().at("callers")));
        return std::make_unique<Process>("standin-caller", std::move(flags));
    }

    /// \return Exit status of baobabctl.
    int control(std::size_t daemon, const std::string &statement)
    {
        Process ctl{"baobabctl",
                    {"--key_file=" + m_directory.file("operator.key"),
                     "--daemons=" + local(m_ports.at(daemon).at(3)), statement},
                    Process::Output::Hidden};
        return ctl.waitForEnd();
    }

    /// \return Number of runs of each request, summed over all targets.
    [[nodiscard]] std::map<std::string, std::int64_t> runs() const
    {
        std::map<std::string, std::int64_t> out;
        for (const auto &target : m_targets) {
            const auto runs = getJson(target->ports().at("control"), "/runs");
            for (const auto &[id, count] : runs.as_object())
                out[std::string{id}] += count.to_number<std::int64_t>();
        }
        return out;
    }

private:
    using Ports = std::vector<std::uint16_t>; // data, peer, records, administration

    [[nodiscard]] static std::string local(std::uint16_t port)
    {
        return "127.0.0.1:" + std::to_string(port);
    }

    void startDaemon(std::size_t index)
    {
        m_ports.push_back(freePorts(4));
        const Ports &ports = m_ports.back();
        const std::string id = std::to_string(index + 1);
        boost::json::array seeds;
        for (const Ports &other : m_ports) {
            if (&other != &ports)
                seeds.emplace_back(local(other.at(1)));
        }
        const boost::json::value settings{
            {"daemon", index + 1},
            {"domain", "alx-raml"},
            {"addresses",
             {{"data", local(ports.at(0))},
              {"peer", local(ports.at(1))},
              {"records", local(ports.at(2))},
              {"administration", local(ports.at(3))}}},
            {"fabric", boost::json::array{"127.0.0.1"}},
            {"seeds", seeds},
            {"platform", {{"address", local(m_platform.ports().at("http"))}}},
            {"clusterSecretFile", m_directory.file("cluster.secret")},
            {"administration", {{"operatorKeyFile", m_directory.file("operator.key")}}}};
        const std::string file = m_directory.file("daemon" + id + ".json");
        std::ofstream{file} << boost::json::serialize(settings);

        const boost::json::value vm{{"domain", "alx-raml"},
                                    {"address", local(ports.at(1))},
                                    {"records", local(ports.at(2))}};
        callHttp(boost::beast::http::verb::put, m_platform.ports().at("http"), "/control/vms/" + id,
                 boost::json::serialize(vm));
        m_daemons.push_back(std::make_unique<Process>(
            "baobabtraild", std::vector{"--settings=" + file}, Process::Output::Hidden));
        setMember(boost::beast::http::verb::put, index);
    }

    void setMember(boost::beast::http::verb verb, std::size_t daemon)
    {
        callHttp(verb, m_fabric.ports().at("control"),
                 "/members/" + local(m_ports.at(daemon).at(0)));
    }

    void startTarget(std::size_t index, std::vector<std::string> flags)
    {
        flags.push_back("--name=t" + std::to_string(index + 1));
        flags.push_back("--uplink=" + local(m_fabric.ports().at("uplink")));
        m_targets.push_back(std::make_unique<Process>("standin-target", std::move(flags)));
    }

    void declare()
    {
        std::string change = "declare tenant alexandria key-hash " + std::string(64, 'a')
                             + "; declare service alexandria/lending";
        for (std::size_t i = 0; i < m_targets.size(); ++i) {
            const auto &ports = m_targets[i]->ports();
            change += "; add target alexandria/lending/t" + std::to_string(i + 1)
                      + " domain alx-raml flows " + local(ports.at("flows")) + " requests "
                      + local(ports.at("requests")) + " slots 2";
        }
        waitUntil("the change", [&] { return control(0, change) == 0; });
        for (std::size_t i = 0; i < m_daemons.size(); ++i)
            waitUntil("the revision",
                      [&] { return control(i, "wait for revision 1 timeout 10s") == 0; });
    }

    TemporaryDirectory m_directory;
    Process m_platform{"standin-platform", {}};
    Process m_fabric{"standin-fabric", {}};
    std::vector<Ports> m_ports;
    std::vector<std::unique_ptr<Process>> m_daemons;
    std::vector<std::unique_ptr<Process>> m_targets;
};

} // namespace baobabtrail::test
