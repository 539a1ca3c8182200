#include "support/records_fixture.h"

#include <optional>
#include <string>

using namespace baobabtrail;
using namespace baobabtrail::test;

Test(records, concurrentRequestsGetTheirOwnAnswers)
{
    constexpr std::size_t Requests = 50;
    boost::asio::io_context context;
    const Endpoint address = freeAddress();
    RecordsServer server{
        context, address, 4,
        [](std::string_view request) { return std::optional{"answer to " + std::string{request}}; },
        unexpected()};
    RecordsClient client{context, 5s};
    std::size_t answers = 0;
    std::size_t right = 0;
    for (std::size_t number = 0; number < Requests; ++number) {
        const std::string request = "question " + std::to_string(number);
        client.fetch(address, request, [&, request](const std::optional<std::string> &answer) {
            ++answers;
            right += answer == "answer to " + request ? 1 : 0;
        });
    }
    runUntil(context, answers, Requests);
    cr_assert_eq(right, Requests);
}

namespace {

constexpr std::size_t Closes = 400;
constexpr Duration LatestClose = 1ms;

/// \brief Runs the event loop for a time that grows with each round, so that the close which
/// follows hits each moment of an exchange.
void runUntilClose(boost::asio::io_context &context, std::size_t round)
{
    const auto span = LatestClose * round / Closes;
    const auto work = boost::asio::make_work_guard(context);
    context.restart();
    context.run_for(span);
}

[[nodiscard]] std::optional<std::string> answerAll(std::string_view)
{
    return "answer";
}

} // namespace

// Guards against closing a client that hangs when an answer arrives at the same moment.
Test(records, aClientClosesAtAnyMomentOfAnExchange, .timeout = 30)
{
    boost::asio::io_context context;
    const Endpoint address = freeAddress();
    const RecordsServer server{context, address, 2, &answerAll, unexpected()};
    std::size_t answers = 0;
    for (std::size_t round = 0; round < Closes; ++round) {
        RecordsClient client{context, RecordsTimeout};
        client.fetch(address, "known", [&](const auto &) { ++answers; });
        runUntilClose(context, round);
    }
    runUntil(context, answers, Closes);
}

// Guards against closing a server that hangs when a request arrives at the same moment.
Test(records, aServerClosesAtAnyMomentOfAnExchange, .timeout = 30)
{
    boost::asio::io_context context;
    const Endpoint address = freeAddress();
    std::size_t answers = 0;
    for (std::size_t round = 0; round < Closes; ++round) {
        RecordsClient client{context, RecordsTimeout};
        std::optional<RecordsServer> server;
        server.emplace(context, address, 2, &answerAll, unexpected());
        client.fetch(address, "known", [&](const auto &) { ++answers; });
        runUntilClose(context, round);
        server.reset();
    }
    runUntil(context, answers, Closes);
}
