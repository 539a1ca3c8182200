#pragma once

#include "direct/target.h"
#include "support/http.h"
#include "support/process.h"

#include <boost/json.hpp>

#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace baobabtrail::standins {

/// \brief The platform's store as a child process, with the writes of operators and targets. Each
/// call blocks this process until it is answered.
class OperatedStore
{
public:
    [[nodiscard]] static Endpoint routeOf(int number)
    {
        return {0xC6120001U, static_cast<std::uint16_t>(8000 + number)};
    }
    [[nodiscard]] static std::size_t domainOf(std::uint64_t target) { return target % 3; }
    [[nodiscard]] static std::string nameOfDomain(std::size_t domain)
    {
        return "domain" + std::to_string(domain);
    }

    [[nodiscard]] std::uint16_t port() const { return m_process.ports().at("http"); }

    // Fault injection.

    void setSwitches(const std::string &json) const { put("/control/switches", json); }
    void compact() const { call(Verb::post, "/control/compact"); }
    /// \brief Sends a signal to the store's process.
    void signal(int number) const { m_process.send(number); }

    // Writes of operators.

    /// \brief Writes a new version of the configuration with exactly these routes.
    void writeRoutes(const std::set<int> &numbers)
    {
        boost::json::array routes;
        for (const int number : numbers)
            routes.push_back(entryOf(number));
        const boost::json::object spec{
            {"version", ++m_version},
            {"routes", routes},
            {"services", {serviceNamed("lending"), serviceNamed("catalogue")}},
            {"limits", {{"idle_timeout_ms", 15000}}}};
        const std::string body = boost::json::serialize(
            boost::json::object{{"meta", {{"name", "main"}}}, {"spec", spec}});
        if (m_version == 1)
            post("config", body);
        else
            put("/baobabtrail/objects/config/main", body);
    }
    /// \return Version of the last configuration written here.
    [[nodiscard]] std::uint64_t newestConfiguration() const noexcept { return m_version; }
    /// \return Version of the configuration read from the store.
    [[nodiscard]] std::int64_t storedConfiguration() const
    {
        const auto object = test::getJson(port(), "/baobabtrail/objects/config/main");
        return object.at("spec").at("version").as_int64();
    }

    void evacuate(std::size_t domain) const
    {
        post("evacuations",
             boost::json::serialize(boost::json::object{{"meta", {{"name", nameOfDomain(domain)}}},
                                                        {"spec", boost::json::object{}}}));
    }
    void restore(std::size_t domain) const
    {
        call(Verb::delete_, "/baobabtrail/objects/evacuations/" + nameOfDomain(domain));
    }

    // Writes of targets.

    /// \param coldFor Remaining warm-up time to report.
    void registerTarget(const Target &target, std::chrono::milliseconds coldFor) const
    {
        post("servers", registrationOf(target, "ready", coldFor));
    }
    void reportDraining(const Target &target, std::chrono::milliseconds coldFor) const
    {
        put(pathOf(target.id()), registrationOf(target, "draining", coldFor));
    }
    void unregister(std::uint64_t target) const { call(Verb::delete_, pathOf(target)); }

    // Writes of another writer.

    /// \brief Adds entries of which each reader gets \a content, the text of any JSON value.
    /// \param kind Kind of the platform, such as "servers".
    void writeOdd(const std::string &kind, const std::string &name,
                  const std::string &content) const
    {
        setSwitches(boost::json::serialize(boost::json::object{{"oddText", content}}));
        post(kind, boost::json::serialize(
                       boost::json::object{{"meta", {{"name", name}}}, {"spec", "@odd"}}));
    }

private:
    using Verb = boost::beast::http::verb;

    static constexpr double ColdPerSecond = 12.0;

    [[nodiscard]] static boost::json::object serviceNamed(const char *name)
    {
        return {{"name", name}, {"warmup_s", 3.0}, {"warmup_per_s", ColdPerSecond}};
    }

    [[nodiscard]] static boost::json::object entryOf(int number)
    {
        return {{"name", "r" + std::to_string(number)},
                {"host", "198.18.0.1"},
                {"path_prefix", '/' + std::to_string(routeOf(number).port) + '/'},
                {"service", number % 2 == 0 ? "lending" : "catalogue"}};
    }

    [[nodiscard]] static std::string nameOf(std::uint64_t target)
    {
        constexpr std::string_view digits = "0123456789abcdef";
        std::string hex;
        for (int shift = 28; shift >= 0; shift -= 4)
            hex += digits[(target >> shift) & 0xf];
        return "i-" + hex;
    }

    [[nodiscard]] static std::string pathOf(std::uint64_t target)
    {
        return "/baobabtrail/objects/servers/" + nameOf(target);
    }

    [[nodiscard]] static std::string registrationOf(const Target &target, const std::string &state,
                                                    std::chrono::milliseconds coldFor)
    {
        return boost::json::serialize(
            boost::json::object{{"meta", {{"name", nameOf(target.id())}}},
                                {"spec",
                                 {{"service", target.service()},
                                  {"address", toString(target.address())},
                                  {"zone", nameOfDomain(domainOf(target.id()))},
                                  {"version", "v1"},
                                  {"slots", 2},
                                  {"state", state},
                                  {"warmup_left_ms", coldFor.count()},
                                  {"seq", 1}}}});
    }

    void put(const std::string &path, const std::string &body) const
    {
        call(Verb::put, path, body);
    }
    void post(const std::string &collection, const std::string &body) const
    {
        call(Verb::post, "/baobabtrail/objects/" + collection, body);
    }
    void call(Verb verb, const std::string &path, const std::string &body = {}) const
    {
        test::callHttp(verb, port(), path, body);
    }

    test::Process m_process{"standin-platform", {}};
    std::uint64_t m_version = 0;
};

} // namespace baobabtrail::standins
