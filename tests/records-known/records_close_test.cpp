#include "support/records_fixture.h"

#include <optional>
#include <string>

using namespace baobabtrail;
using namespace baobabtrail::test;

// A control node that never gets the result of a fetch would never fetch again. So every fetch must
// end, without an answer, when the peer is dead, when it refuses the request, or when this daemon's
// client is restarted during the fetch; and a fetch from a peer that is back must succeed.
Test(records, everyFetchEndsWithoutAnAnswer, .timeout = 30)
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
    client.emplace(context, RecordsTimeout);
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
