#include "wire/view_form.h"

#include <criterion/criterion.h>

using namespace baobabtrail;

namespace {

constexpr Endpoint Root{0x0A010000, 9000};
constexpr Endpoint Follower{0x0A010001, 9000};

[[nodiscard]] PeerAnswer answerOfAFollower()
{
    PeerAnswer answer;
    answer.domain = "alx-raml";
    answer.age = 1500ms;
    answer.lineage = {{Follower, Root}, Root, 17};
    answer.seated = false;
    answer.delta.change.version = ObjectVersion{9};
    answer.delta.change.written = {{"targets/1", "ready", ObjectVersion{8}}};
    answer.delta.change.removed = {"targets/2"};
    answer.delta.change.afterOutage = true;
    return answer;
}

} // namespace

Test(viewForm, aQuestionComesAsItWasAsked)
{
    PeerQuestion question;
    question.prefix = "targets/";
    question.after = ObjectVersion{7};
    question.wait = 1s;
    question.asker = Follower;
    question.domain = "alx-agami";
    question.age = 300ms;
    question.origin = Root;
    question.pulse = 12;
    question.look = true;
    const auto read = wire::parseQuestion(wire::toJson(question));
    cr_assert(read.has_value());
    cr_assert_eq(read->after.value(), 7);
    cr_assert(read->wait == 1s && read->age == 300ms);
    cr_assert(read->asker == Follower && read->origin == Root);
    cr_assert_eq(read->pulse, 12);
    cr_assert(read->look);
}

Test(viewForm, anAnswerBringsItsWayFromTheStore)
{
    const auto read = wire::parseAnswer(wire::toJson(answerOfAFollower()));
    cr_assert(read.has_value());
    cr_assert(read->lineage.path == std::vector<Endpoint>({Follower, Root}));
    cr_assert(read->lineage.origin == Root);
    cr_assert_eq(read->lineage.pulse, 17);
    cr_assert(!read->seated);
    cr_assert_eq(read->delta.change.written.size(), 1);
    cr_assert(read->delta.change.removed == std::vector<std::string>{"targets/2"});
}

// Daemons are replaced one after the other: some still speak without the way to the store. Their
// answers count as those of a daemon that is linked to nobody, and are not thrown away.
Test(viewForm, anAnswerWithoutItsWayIsReadToo)
{
    const auto read = wire::parseAnswer(
        R"({"domain":"d","age_us":5,"version":3,"complete":true,"after_outage":false,)"
        R"("written":[],"removed":[]})");
    cr_assert(read.has_value());
    cr_assert(read->lineage.path.empty());
    cr_assert(read->lineage.origin.isNull());
}

// Whoever reaches the port may send anything; none of it may end the daemon or pass for an answer.
Test(viewForm, refusesWhatIsNone)
{
    for (const char *text :
         {"", "{", "[]", "null", R"({"domain":1})", R"({"domain":"d","age_us":"x"})",
          R"({"domain":"d","age_us":5,"redirect":["nowhere"]})",
          R"({"domain":"d","age_us":5,"version":-3,"complete":true})"}) {
        cr_assert(!wire::parseAnswer(text), "%s", text);
        cr_assert(!wire::parseQuestion(text), "%s", text);
    }
}
