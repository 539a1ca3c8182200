#include "daemon/admin/http_server.h"

#include "net/http_client.h"
#include "support/free_ports.h"

#include <boost/asio/io_context.hpp>

#include <criterion/criterion.h>

#include <sys/resource.h>

#include <memory>
#include <utility>
#include <vector>

using namespace baobabtrail;
using namespace baobabtrail::daemon;
using namespace baobabtrail::test;

namespace {

constexpr std::size_t MaxConnections = 2;

/// \brief A server that replies on demand, and clients with one connection each.
struct Fixture
{
    boost::asio::io_context context{1};
    Endpoint address{0x7F000001U, freePorts(1).front()};
    std::vector<HttpServer::Respond> waiting;
    std::vector<std::unique_ptr<HttpClient>> clients;
    std::vector<HttpResult> results;
    HttpServer server;

    explicit Fixture(bool closes = false)
        : server(
            context, address, settings(),
            [this, closes](const HttpRequest &, HttpServer::Respond respond) {
                waiting.push_back([respond = std::move(respond), closes](HttpReply reply) {
                    reply.closes = closes;
                    respond(std::move(reply));
                });
            },
            [](const std::string &) {})
    {
    }

    [[nodiscard]] static AdministrationSettings settings()
    {
        AdministrationSettings settings;
        settings.maxConnections = MaxConnections;
        return settings;
    }

    void sendRequests(std::size_t count)
    {
        for (std::size_t index = 0; index < count; ++index) {
            clients.push_back(std::make_unique<HttpClient>(context));
            HttpCall call;
            call.server = address;
            call.request = {boost::beast::http::verb::get, "/", 11};
            call.request.keep_alive(true);
            call.timeout = 10s;
            clients.back()->call(std::move(call), [this](HttpResult result) {
                results.push_back(std::move(result));
            });
        }
    }

    void reply()
    {
        for (const HttpServer::Respond &respond : std::exchange(waiting, {}))
            respond({200, "text/plain", "ok"});
    }

    template <typename Until>
    void run(Until until)
    {
        while (!until() && context.run_one() > 0) {
        }
    }
};

[[nodiscard]] std::size_t answered(const std::vector<HttpResult> &results)
{
    std::size_t count = 0;
    for (const HttpResult &result : results)
        count += std::holds_alternative<HttpClientResponse>(result);
    return count;
}

} // namespace

// More clients connect than the maximum of keep-alive connections. A connection closed without a
// reply tells its client nothing, so each client must get its reply; the connections beyond the
// maximum are closed after it.
Test(httpServer, answersBeyondTheConnectionsThatAreKept)
{
    constexpr std::size_t clients = 20;
    Fixture fixture;
    fixture.sendRequests(clients);
    fixture.run([&] { return fixture.waiting.size() == clients; });
    fixture.reply();
    fixture.run([&] { return fixture.results.size() == clients; });
    cr_assert_eq(answered(fixture.results), clients);
    fixture.run([&] { return fixture.server.connections().open == MaxConnections; });
    cr_assert_eq(fixture.server.connections().singleRequest, clients - MaxConnections);
    cr_assert_eq(fixture.server.connections().peak, clients);
}

// More clients connect than the server's share of file descriptors allows. The last ones must be
// accepted only after other connections have closed; accepted at once, they would use up the
// descriptors that connections to targets need.
Test(httpServer, postponesConnectionsBeyondItsShareOfDescriptors)
{
    constexpr rlim_t descriptors = 64;
    constexpr std::size_t share = 16;
    constexpr std::size_t clients = 20;
    const rlimit limit{descriptors, descriptors};
    cr_assert_eq(setrlimit(RLIMIT_NOFILE, &limit), 0);
    Fixture fixture;
    fixture.sendRequests(clients);
    fixture.run([&] { return fixture.waiting.size() == share; });
    cr_assert_eq(fixture.server.connections().open, share);
    cr_assert_geq(fixture.server.connections().postponed, 1);
    fixture.run([&] {
        fixture.reply();
        return fixture.results.size() == clients;
    });
    cr_assert_eq(answered(fixture.results), clients);
    cr_assert_eq(fixture.server.connections().peak, share);
}

// A redirected client does not return, so its connection must be closed: kept alive, it would count
// against the maximum.
Test(httpServer, endsTheConnectionOfARedirectedClient)
{
    Fixture fixture{true};
    fixture.sendRequests(1);
    fixture.run([&] { return fixture.waiting.size() == 1; });
    fixture.reply();
    fixture.run(
        [&] { return fixture.results.size() == 1 && fixture.server.connections().open == 0; });
    cr_assert_eq(answered(fixture.results), 1);
}
