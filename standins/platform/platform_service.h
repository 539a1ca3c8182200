#pragma once

#include "platform/object_store.h"
#include "platform/rate_limit.h"
#include "platform/vm_registry.h"
#include "support/http_server.h"
#include "support/standin_process.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace baobabtrail::standins {

/// \brief Faults that tests switch on; see docs/FAULTS.md.
struct Switches
{
    bool down = false;             ///< Connections are dropped without an answer.
    bool busy = false;             ///< Every call gets 503.
    bool silent = false;           ///< No call is ever answered.
    std::uint64_t slow = 0;        ///< Milliseconds that an answer takes on average.
    std::uint64_t loseReplies = 0; ///< So many writes take effect and are not answered.
    double writesPerSecond = 0;    ///< 0 for no limit.
    double readsPerSecond = 0;
    bool silentWatch = false; ///< Watches are never answered, not even when their wait is over.
    std::uint64_t vmLag = 0;  ///< Milliseconds by which the VM list lags.
    std::uint64_t pageObjects = 500; ///< Objects in one page of a list.
};

/// \brief The platform's store as its page describes it, and its switches.
///
/// | call | what |
/// |---|---|
/// | GET /baobabtrail/objects/KIND?after=NAME | a page of a kind |
/// | GET /baobabtrail/objects/KIND?watch=REVISION&wait_ms=N | changes, or 410 |
/// | GET, PUT, DELETE /baobabtrail/objects/KIND/NAME | one object |
/// | POST /baobabtrail/objects/KIND | creates one |
/// | PUT /control/switches, /control/vms/ID, POST /control/compact; GET /control/counts | tests |
class PlatformService
{
public:
    PlatformService(boost::asio::io_context &context, std::uint64_t seed, Switches switches);

    void handle(const HttpRequest &request, const HttpReply &reply);

private:
    struct Watch
    {
        std::string kind;
        std::uint64_t after = 0;
        HttpReply reply;
        std::unique_ptr<boost::asio::steady_timer> timer;
    };
    /// \brief A path below the objects' own.
    struct Place
    {
        std::string kind;
        std::string name; ///< Empty for the kind.
    };

    void control(const HttpRequest &request, const UrlParts &url, const HttpReply &reply);
    void setSwitches(const boost::json::object &values);
    void dropWatches();
    void serve(const HttpRequest &request, const UrlParts &url, const HttpReply &reply);
    void read(const Place &place, const UrlParts &url, const HttpReply &reply);
    void write(const HttpRequest &request, const Place &place, const UrlParts &url,
               const HttpReply &reply);
    void create(const HttpRequest &request, const Place &place, const HttpReply &reply);
    void replace(const HttpRequest &request, const Place &place, const HttpReply &reply);
    void remove(const Place &place, const UrlParts &url, const HttpReply &reply);
    void written(const HttpReply &reply, HttpResponse response);
    void watch(const std::string &kind, const UrlParts &url, const HttpReply &reply);
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
