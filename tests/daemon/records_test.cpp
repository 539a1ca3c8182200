#include "daemon/records/records_client.h"
#include "daemon/records/records_server.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string>

#include <criterion/criterion.h>

using namespace baobabtrail;
using namespace baobabtrail::daemon;

namespace {

constexpr Duration Timeout = 300ms;

/// \return An address on which nothing listens now.
[[nodiscard]] Endpoint freeAddress()
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor{context, {boost::asio::ip::address_v4::loopback(), 0}};
    return {0x7f000001, acceptor.local_endpoint().port()};
}

[[nodiscard]] FailureHandler unexpected()
{
    return [](const std::string &why) { cr_assert_fail("%s", why.c_str()); };
}

/// \brief Runs the loop until \a count answers have come.
void runUntil(boost::asio::io_context &context, const std::size_t &count, std::size_t wanted)
{
    const auto work = boost::asio::make_work_guard(context);
    context.restart();
    while (count < wanted)
        context.run_one_for(std::chrono::seconds{10});
}

} // namespace

Test(records, manyAtOnceAreAnsweredEachToItsAsker)
{
    constexpr std::size_t Questions = 50;
    boost::asio::io_context context;
    const Endpoint address = freeAddress();
    RecordsServer server{
        context, address, 4,
        [](std::string_view request) { return std::optional{"answer to " + std::string{request}}; },
        unexpected()};
    RecordsClient client{context, 5s};
    std::size_t answers = 0;
    std::size_t right = 0;
    for (std::size_t number = 0; number < Questions; ++number) {
        const std::string question = "question " + std::to_string(number);
        client.fetch(address, question, [&, question](const std::optional<std::string> &answer) {
            ++answers;
            right += answer == "answer to " + question ? 1 : 0;
        });
    }
    runUntil(context, answers, Questions);
    cr_assert_eq(right, Questions);
}

// The peer is dead, or does not answer what it was asked, or this daemon's client is restarted
// with a question open. A control node that never got a result would never ask again.
// Every fetch ends, with nothing; and a peer that is back is asked with success.
Test(records, everyFetchEndsAlsoWithoutAnAnswer, .timeout = 30)
{
    boost::asio::io_context context;
    const Endpoint address = freeAddress();
    std::size_t answers = 0;
    std::size_t empty = 0;
    const auto count = [&](const std::optional<std::string> &answer) {
        ++answers;
        empty += answer ? 0 : 1;
    };
    std::optional<RecordsClient> client;
    client.emplace(context, Timeout);
    client->fetch(address, "dead", count);
    runUntil(context, answers, 1);
    cr_assert_eq(empty, 1);

    const auto serve = [](std::string_view request) {
        return request == "known" ? std::optional<std::string>{"answer"} : std::nullopt;
    };
    std::optional<RecordsServer> server;
    server.emplace(context, address, 2, serve, unexpected());
    client->fetch(address, "unknown", count);
    runUntil(context, answers, 2);
    cr_assert_eq(empty, 2);
    client->fetch(address, "known", count);
    runUntil(context, answers, 3);
    cr_assert_eq(empty, 2);

    client->fetch(address, "unknown", count);
    client.reset();
    runUntil(context, answers, 4);
    cr_assert_eq(empty, 3);
    server.reset();
    server.emplace(context, address, 2, serve, unexpected());
}
