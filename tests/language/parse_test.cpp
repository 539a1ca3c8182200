#include "language/parse.h"

#include <criterion/criterion.h>

using namespace baobabtrail;
using namespace baobabtrail::language;

namespace {

template <typename Expected>
Expected parsed(const char *text)
{
    const auto result = parse(text);
    const auto *error = std::get_if<SyntaxError>(&result);
    cr_assert(!error, "%s: %s", text, error ? toString(*error).c_str() : "");
    const Statement &statement = std::get<Statement>(result);
    cr_assert(std::holds_alternative<Expected>(statement), "%s", text);
    return std::get<Expected>(statement);
}

[[nodiscard]] std::string errorOf(const char *text)
{
    const auto result = parse(text);
    cr_assert(std::holds_alternative<SyntaxError>(result), "%s was understood", text);
    return toString(std::get<SyntaxError>(result));
}

const TargetName LendingT1{{"alexandria", "lending"}, "t1"};

} // namespace

Test(parse, addTargetTakesItsSettingsInAnyOrder)
{
    const auto change = parsed<Change>("add target alexandria/lending/t1 slots 2 "
                                       "requests 10.0.0.1:81 domain alx-raml flows 10.0.0.1:80");
    cr_assert_eq(change.commands.size(), 1U);
    const auto &add = std::get<AddTarget>(change.commands.front());
    cr_assert(add.target == LendingT1);
    cr_assert(add.domain == "alx-raml");
    cr_assert(add.flows == *parseEndpoint("10.0.0.1:80"));
    cr_assert(add.requests == *parseEndpoint("10.0.0.1:81"));
    cr_assert_eq(add.slots, 2U);
    cr_assert_eq(add.weight, 100U);
}

Test(parse, commandsJoinedBySemicolonsAreOneChange)
{
    const auto change = parsed<Change>("drain target alexandria/lending/t1; "
                                       "set weight alexandria/lending/t1 0;rotate keys to 3");
    cr_assert_eq(change.commands.size(), 3U);
    cr_assert(std::get<DrainTarget>(change.commands[0]).target == LendingT1);
    cr_assert_eq(std::get<SetWeight>(change.commands[1]).weight, 0U);
    cr_assert(std::get<RotateKeys>(change.commands[2]).epoch == KeyEpoch{3});
}

Test(parse, everyCommandAndQuery)
{
    const std::string hash(64, 'a');
    cr_assert(
        std::get<DeclareWorkspace>(
            parsed<Change>(("declare tenant alexandria key-hash " + hash).c_str()).commands.front())
            .keyHash
        == hash);
    const auto service = std::get<DeclareService>(
        parsed<Change>("declare service a/b queue 8 retries 5").commands.front());
    cr_assert_eq(service.limits.queuePerSlot, 8U);
    cr_assert_eq(service.limits.retryPercent, 5U);
    cr_assert(std::get<MoveTarget>(parsed<Change>("move target a/b/c to a/d").commands.front()).to
              == (ServiceName{"a", "d"}));
    parsed<Change>("undrain target a/b/c");
    parsed<Change>("retire target a/b/c");
    parsed<Change>("cut target a/b/c");
    parsed<Change>("set limits a/b share 200");
    parsed<ShowRevision>("show revision");
    parsed<ShowMetrics>("show metrics");
    parsed<Help>("help");
    cr_assert(parsed<ExplainFlow>("explain flow 42 0aff").token == "0aff");
    cr_assert(parsed<ExplainRequest>("explain request 00000000000000010000000000000002 0a").request
              == (RequestId{1, 2}));
    cr_assert(parsed<ShowChange>("show change 'x 1'").changeId == "x 1");
    const auto show = parsed<Show>("show targets where service = a/b and state != active");
    cr_assert(show.table == Table::Targets);
    cr_assert_eq(show.filters.size(), 2U);
    cr_assert(show.filters[1].negated);
    cr_assert(std::get<Revision>(parsed<Wait>("wait for revision 7 timeout 9s").subject)
              == Revision{7});
    cr_assert(parsed<Wait>("wait for revision 7 timeout 9s").timeout == 9s);
    cr_assert(std::get<std::string>(parsed<Wait>("wait for change x").subject) == "x");
}

Test(parse, errorsNameTheColumnAndWhatWasExpected)
{
    struct Case
    {
        const char *text;
        const char *error;
    };
    const Case cases[] = {
        {"drain target lending", "column 14: expected a target name (tenant/service/target), "
                                 "found 'lending'"},
        {"show targets where colour = red",
         "column 20: expected COLUMN = VALUE or COLUMN != VALUE, found 'colour'"},
        {"add target a/b/c domain x flows 1.2.3.4:5",
         "column 18: expected domain NAME, flows ADDRESS and requests ADDRESS, each once, "
         "found 'domain'"},
        {"add target a/b/c domain x flows 1.2.3.4",
         "column 33: expected an IPv4 address with a port, such as 127.0.0.1:9000, "
         "found '1.2.3.4'"},
        {"set weight a/b/c", "column 17: expected a whole number, found the end"},
        {"show revision now", "column 15: expected the end of the statement, found 'now'"},
        {"",
         "column 1: expected show, wait, explain, help or a command: declare, add, drain, undrain, "
         "retire, cut, move, evacuate, restore, set or rotate, found the end"},
        {"evacuate alx-raml", "column 10: expected domain NAME, found 'alx-raml'"},
    };
    for (const Case &each : cases) {
        const std::string error = errorOf(each.text);
        cr_expect(error == each.error, "%s: %s", each.text, error.c_str());
    }
}

// Guards against a time that is taken for another one, as it is a fraction or beyond its integer.
Test(parse, timesAreWholeSecondsInRange)
{
    for (const char *text :
         {"wait for revision 7 timeout 1.5s", "wait for revision 7 timeout 99999999999999999999s",
          "wait for revision 18446744073709551616", "wait for revision 7 timeout -1s"})
        cr_assert(!errorOf(text).empty(), "%s", text);
}
