#include "support/records_bench.h"

#include <optional>
#include <string>

using namespace baobabtrail;
using namespace baobabtrail::test;

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
