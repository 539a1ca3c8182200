#pragma once

#include "core/random.h"
#include "platform/object_store.h"
#include "platform/rate_limit.h"
#include "platform/vm_registry.h"
#include "support/http_server.h"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <string>

namespace baobabtrail::standins {

/// \brief What is made to go wrong; set by PUT /control/switches with any of these names.
struct Switches
{
    bool down = false;             ///< Connections are dropped without an answer.
    std::uint64_t slow = 0;        ///< Milliseconds that an answer takes on average.
    std::uint64_t loseReplies = 0; ///< So many writes take effect and are not answered.
    double writesPerSecond = 0;    ///< 0 for no limit.
    double readsPerSecond = 0;
    bool silentWatch = false; ///< Watches are never answered, not even when their wait is over.
    std::uint64_t vmLag = 0;  ///< Milliseconds by which the VM list lags.
};

/// \brief The platform's HTTP interface, see src/platform/client.h, and its switches.
class PlatformService
{
public:
    PlatformService(boost::asio::io_context &context, std::uint64_t seed, Switches switches);

    void handle(const HttpRequest &request, const HttpReply &reply);

private:
    struct Watch
    {
        std::string prefix;
        std::uint64_t after = 0;
        HttpReply reply;
        std::unique_ptr<boost::asio::steady_timer> timer;
    };

    void control(const HttpRequest &request, const UrlParts &url, const HttpReply &reply);
    void setSwitches(const boost::json::object &values);
    void serve(const HttpRequest &request, const UrlParts &url, const HttpReply &reply);
    void object(const HttpRequest &request, const std::string &key, const HttpReply &reply);
    void write(const HttpRequest &request, const std::string &key, const HttpReply &reply);
    void watch(const UrlParts &url, const HttpReply &reply);
    void endWatch(std::uint64_t id);
    void answerWatches();
    [[nodiscard]] bool allowed(const HttpRequest &request, const HttpReply &reply);
    [[nodiscard]] HttpReply slowed(HttpReply reply);
    void count(const std::string &kind) { ++m_counts[kind]; }

    boost::asio::io_context &m_context;
    Random m_random;
    Switches m_switches;
    ObjectStore m_store;
    VmRegistry m_vms;
    RateLimit m_writes;
    RateLimit m_reads;
    std::map<std::uint64_t, Watch> m_watches;
    std::uint64_t m_lastWatch = 0;
    std::map<std::string, std::uint64_t> m_counts;
};

} // namespace baobabtrail::standins
