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

/// \brief Faults and limits that tests set by PUT /control/switches; see docs/FAULTS.md.
struct Switches
{
    bool down = false;             ///< Closes connections without an answer.
    bool busy = false;             ///< Answers every call with 503.
    bool silent = false;           ///< Never answers a call.
    std::uint64_t slow = 0;        ///< Mean delay of an answer, in milliseconds.
    std::uint64_t loseReplies = 0; ///< Number of writes to apply without answering.
    double writesPerSecond = 0;    ///< 0 for unlimited.
    double readsPerSecond = 0;
    bool silentWatch = false; ///< Never answers watches, not even when their wait time is over.
    std::uint64_t vmLag = 0;  ///< Age of the served VM list, in milliseconds.
    std::uint64_t pageObjects = 500; ///< Maximum number of objects in a page of a list.
    /// Text that stands for each OddMarker in lists and watches: what another writer has stored may
    /// be JSON that this process can't hold.
    std::string oddText{};
};

/// Content of an object that is answered as Switches::oddText.
inline constexpr std::string_view OddMarker = "@odd";

/// \brief HTTP API of the platform's object store and VM list, with a control API for tests.
///
/// | call | effect |
/// |---|---|
/// | GET /baobabtrail/objects/KIND?after=NAME | one page of a kind's objects |
/// | GET /baobabtrail/objects/KIND?watch=REVISION&wait_ms=N | later changes, or 410 |
/// | GET, PUT, DELETE /baobabtrail/objects/KIND/NAME | reads, replaces or deletes an object |
/// | POST /baobabtrail/objects/KIND | creates an object |
/// | PUT /control/switches, /control/vms/ID, POST /control/compact; GET /control/counts | tests |
class PlatformService
{
public:
    PlatformService(boost::asio::io_context &context, std::uint64_t seed, const Switches &switches);

    void handle(const HttpRequest &request, const HttpReply &reply);

private:
    struct Watch
    {
        std::string kind;
        std::uint64_t after = 0;
        HttpReply reply;
        std::unique_ptr<boost::asio::steady_timer> timer;
    };
    /// \brief Kind and name parsed from a path below /baobabtrail/objects/.
    struct Place
    {
        std::string kind;
        std::string name; ///< Empty if the path addresses the kind as a whole.
    };

    void control(const HttpRequest &request, const UrlParts &url, const HttpReply &reply);
    void setSwitches(const boost::json::object &values);
    /// \return The response, with what other writers have stored.
    [[nodiscard]] HttpResponse withOddText(const boost::json::value &value) const;
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
