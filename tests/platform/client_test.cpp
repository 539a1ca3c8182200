#include "store/client.h"
#include "support/process.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <optional>

#include <criterion/criterion.h>

using namespace baobabtrail;
using namespace baobabtrail::test;

namespace {

constexpr std::uint32_t Loopback = 0x7f000001;

/// \brief A stand-in of the platform and a client connected to it.
struct Fixture
{
    Process platform{"standin-platform", {}};
    Endpoint address{Loopback, platform.ports().at("http")};
    boost::asio::io_context context;
    PlatformClient client{context, {address, 500ms}};

    PlatformResult call(const PlatformRequest &request)
    {
        std::optional<PlatformResult> result;
        client.call(request, [&result](PlatformResult r) { result = std::move(r); });
        cr_assert_not(result.has_value(), "called back from within call()");
        context.restart();
        while (!result && context.run_one() > 0) {
        }
        cr_assert(result.has_value());
        return std::move(*result);
    }

    template <typename Result>
    Result expect(const PlatformRequest &request)
    {
        PlatformResult result = call(request);
        if (const auto *failure = std::get_if<PlatformFailure>(&result))
            cr_log_info("%s", failure->what.c_str());
        cr_assert(std::holds_alternative<Result>(result));
        return std::get<Result>(std::move(result));
    }

    /// \brief Sends a call to the stand-in's switches.
    std::string control(boost::beast::http::verb verb, const std::string &path,
                        const std::string &body)
    {
        namespace http = boost::beast::http;
        boost::beast::tcp_stream stream{context};
        stream.connect({boost::asio::ip::address_v4{address.address}, address.port});
        http::request<http::string_body> request{verb, "/control/" + path, 11, body};
        request.prepare_payload();
        http::write(stream, request);
        boost::beast::flat_buffer buffer;
        http::response<http::string_body> response;
        http::read(stream, buffer, response);
        cr_assert_lt(response.result_int(), 300);
        return response.body();
    }

    void set(const std::string &switches)
    {
        control(boost::beast::http::verb::put, "switches", switches);
    }
};

} // namespace

Test(platformClient, writesAreConditional)
{
    Fixture fixture;
    const auto created = fixture.expect<Written>(CreateObject{"config/log/1 a", "one"});
    fixture.expect<WriteConflict>(CreateObject{"config/log/1 a", "two"});
    const auto updated
        = fixture.expect<Written>(UpdateObject{"config/log/1 a", "three", created.version});
    cr_assert_gt(updated.version.value(), created.version.value());
    fixture.expect<WriteConflict>(UpdateObject{"config/log/1 a", "four", created.version});

    const auto object = fixture.expect<StoredObject>(ReadObject{"config/log/1 a"});
    cr_assert(object.value == "three" && object.version == updated.version);
    fixture.expect<Written>(DeleteObject{"config/log/1 a"});
    fixture.expect<ObjectMissing>(ReadObject{"config/log/1 a"});
}

Test(platformClient, listsAndWatchesByPrefix)
{
    Fixture fixture;
    const std::string binary{"\0\xff\x80 &=%", 7};
    for (const char *key : {"a/1", "b/1", "b/2", "b/3", "c/1"})
        fixture.expect<Written>(CreateObject{key, binary});
    const auto page = fixture.expect<ObjectList>(ListObjects{"b/", "b/1", 1});
    cr_assert_eq(page.objects.size(), 1);
    cr_assert(page.objects.front().key == "b/2" && page.objects.front().value == binary);

    const auto all = fixture.expect<ObjectList>(WatchObjects{"b/", ObjectVersion{1}, 10s});
    cr_assert_eq(all.objects.size(), 3);
    const auto none = fixture.expect<ObjectList>(WatchObjects{"b/", all.latest, 20ms});
    cr_assert(none.objects.empty());

    std::optional<PlatformResult> watched;
    fixture.client.call(WatchObjects{"b/", all.latest, 10s},
                        [&watched](PlatformResult r) { watched = std::move(r); });
    fixture.expect<Written>(CreateObject{"b/4", "new"});
    while (!watched)
        fixture.context.run_one();
    cr_assert_eq(std::get<ObjectList>(*watched).objects.front().value, "new");
}

Test(platformClient, listsVms)
{
    Fixture fixture;
    fixture.control(boost::beast::http::verb::put, "vms/7",
                    R"({"domain": "alx-raml", "address": "127.0.0.1:9001",
                      "records": "127.0.0.1:9002", "leaving": true})");
    const auto list = fixture.expect<VmList>(ListVms{});
    cr_assert_eq(list.vms.size(), 1);
    const VmEntry &vm = list.vms.front();
    cr_assert(vm.daemon == DaemonId{7} && vm.domain == "alx-raml" && vm.leaving);
    cr_assert_eq(toString(vm.address), "127.0.0.1:9001");
    cr_assert_eq(toString(vm.records), "127.0.0.1:9002");
}

// A write reaches the platform and takes effect, but its response is lost. The client must report
// a failure with unknown outcome and must not retry: the retry would conflict with the first write.
Test(platformClient, lostReplyOfWriteIsFailureAndNotSentAgain)
{
    Fixture fixture;
    fixture.expect<ObjectMissing>(ReadObject{"x/1"}); // Leaves an idle connection to reuse.
    fixture.set(R"({"loseReplies": 1})");
    fixture.expect<PlatformFailure>(CreateObject{"x/1", "mine"});
    cr_assert_eq(fixture.expect<StoredObject>(ReadObject{"x/1"}).value, "mine");
    const std::string counts = fixture.control(boost::beast::http::verb::get, "counts", "");
    cr_assert_neq(counts.find("\"create\":1"), std::string::npos, "%s", counts.c_str());
}

// The platform is down, over its rate limit, slow, or its watch stopped silently. Each call has to
// end in a result within its timeout, and the next one has to work once the platform does.
Test(platformClient, everyFaultEndsInResult)
{
    Fixture fixture;
    fixture.set(R"({"down": true})");
    fixture.expect<PlatformFailure>(ReadObject{"x/1"});
    fixture.set(R"({"down": false, "readsPerSecond": 1})");
    fixture.expect<ObjectMissing>(ReadObject{"x/1"});
    cr_assert(fixture.expect<PlatformFailure>(ReadObject{"x/1"}).retryAfter == 1s);
    fixture.set(R"({"readsPerSecond": 0, "slow": 1000000})");
    fixture.expect<PlatformFailure>(ReadObject{"x/1"});
    fixture.set(R"({"slow": 0, "silentWatch": true})");
    fixture.expect<PlatformFailure>(WatchObjects{"b/", ObjectVersion{1}, 10ms});
    fixture.set(R"({"silentWatch": false})");
    fixture.expect<ObjectMissing>(ReadObject{"x/1"});
}

// The platform closes an idle connection at the moment at which a call reuses it. A read must not
// fail because of that.
Test(platformClient, readSurvivesDroppedIdleConnection)
{
    namespace asio = boost::asio;
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor{context, {asio::ip::address_v4::loopback(), 0}};
    PlatformClient client{context, {{Loopback, acceptor.local_endpoint().port()}, 500ms}};
    int served = 0;
    std::function<void()> serve = [&] {
        acceptor.async_accept([&](boost::system::error_code, asio::ip::tcp::socket accepted) {
            auto socket = std::make_shared<asio::ip::tcp::socket>(std::move(accepted));
            auto bytes = std::make_shared<std::string>();
            asio::async_read_until(
                *socket, asio::dynamic_buffer(*bytes), "\r\n\r\n",
                [&, socket, bytes](boost::system::error_code, std::size_t) {
                    ++served;
                    asio::write(*socket,
                                asio::buffer(std::string{
                                    "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"}));
                    serve(); // Closes the socket, although HTTP/1.1 implies keep-alive.
                });
        });
    };
    serve();
    for (int calls = 0; calls < 3; ++calls) {
        std::optional<PlatformResult> result;
        client.call(ReadObject{"x/1"}, [&](PlatformResult r) { result = std::move(r); });
        while (!result)
            context.run_one();
        cr_assert(std::holds_alternative<ObjectMissing>(*result));
    }
    cr_assert_eq(served, 3);
}

// The store compacts its history past the version from which a watch starts. Retries of the same
// watch would be refused forever, so the result has to say that the caller must list instead.
Test(platformClient, watchOfCompactedHistoryIsReported)
{
    Fixture fixture;
    const auto written = fixture.expect<Written>(CreateObject{"b/1", "one"});
    fixture.expect<Written>(CreateObject{"b/2", "two"});
    fixture.control(boost::beast::http::verb::post, "compact", "");
    fixture.expect<HistoryCompacted>(WatchObjects{"b/", written.version, 10ms});
    const auto list = fixture.expect<ObjectList>(ListObjects{"b/", "b/"});
    cr_assert_eq(list.objects.size(), 2);
    fixture.expect<ObjectList>(WatchObjects{"b/", list.latest, 10ms});
}

// An object is written many times while nobody watches. The next watch would transfer each of these
// versions; the client has to report so before they are transferred, and the caller lists the
// newest.
Test(platformClient, tooLargeWatchAnswerIsReported)
{
    constexpr int versions = 20;
    constexpr std::uint64_t most = 5000;
    Fixture fixture;
    const auto first = fixture.expect<Written>(CreateObject{"b/1", "one"});
    auto last = first;
    for (int version = 0; version < versions; ++version)
        last = fixture.expect<Written>(
            UpdateObject{"b/1", std::string(400, static_cast<char>('a' + version)), last.version});
    fixture.expect<WatchAnswerTooLarge>(WatchObjects{"b/", first.version, 10ms, most});
    const auto list = fixture.expect<ObjectList>(ListObjects{"b/", "b/"});
    cr_assert_eq(list.objects.at(0).value.back(), 'a' + versions - 1);
    fixture.expect<ObjectList>(WatchObjects{"b/", list.latest, 10ms, most});
}

Test(platformClient, watchReportsDeletedObjects)
{
    Fixture fixture;
    const auto written = fixture.expect<Written>(CreateObject{"b/1", "one"});
    fixture.expect<Written>(CreateObject{"b/2", "two"});
    fixture.expect<Written>(DeleteObject{"b/1"});
    const auto changes = fixture.expect<ObjectList>(WatchObjects{"b/", written.version, 10s});
    cr_assert_eq(changes.objects.size(), 1);
    cr_assert_eq(changes.objects.front().key, "b/2");
    cr_assert_eq(changes.removed.size(), 1);
    cr_assert_eq(changes.removed.front(), "b/1");
}

// The daemon's component that owns the client is restarted while calls are in progress. Their
// callbacks must not run afterwards.
Test(platformClient, destructionAbandonsCalls)
{
    boost::asio::io_context context;
    auto client = std::make_unique<PlatformClient>(context, PlatformClientSettings{{Loopback, 1}});
    client->call(ReadObject{"x/1"}, [](PlatformResult) { cr_assert_fail("called back"); });
    client.reset();
    context.run();
}
