#include "ctl/render.h"
#include "ctl/session.h"
#include "ctl/top.h"

#include <sstream>

#include <criterion/criterion.h>

using namespace baobabtrail;
using namespace baobabtrail::ctl;
using language::Result;
using language::Status;

namespace {

struct FakeDaemon
{
    std::vector<Call> calls;
    std::optional<Reply> reply = Reply{200, language::toJson(Result{})};
    std::ostringstream out;
    std::ostringstream errors;

    [[nodiscard]] Session session(SessionOptions options = {})
    {
        return Session(
            std::move(options),
            [this](const Call &call) {
                calls.push_back(call);
                return reply;
            },
            [] { return std::string{"drawn"}; }, out, errors);
    }
};

} // namespace

Test(session, resultsSurviveTheWayThroughJson)
{
    const Result sent{Status::Refused, {"a \"message\""}, {"one", "two"}, {{"1", "x"}, {"22", ""}}};
    const Result read = readResult(language::toJson(sent));
    cr_assert(read.status == sent.status && read.messages == sent.messages
              && read.columns == sent.columns && read.rows == sent.rows);
    cr_assert(renderText(read) == "a \"message\"\none  two\n1    x\n22\n");
}

Test(session, hostileRepliesAreUnknownOutcomes)
{
    for (const char *body :
         {"", "{", "[]", "{}", R"({"status":9,"messages":[],"columns":[],"rows":[]})",
          R"({"status":0,"messages":[],"columns":["a"],"rows":[[]]})",
          R"({"status":0,"messages":[1],"columns":[],"rows":[]})"}) {
        FakeDaemon daemon;
        daemon.reply = Reply{200, body};
        cr_expect(daemon.session().run("show targets") == Status::Unknown, "%s", body);
    }
    FakeDaemon silent;
    silent.reply.reset();
    cr_assert(silent.session().run("show targets") == Status::Unreachable);
    FakeDaemon strict;
    strict.reply = Reply{401, ""};
    cr_assert(strict.session().run("show targets") == Status::Refused);
}

Test(session, aScriptStopsAtTheFirstFailureUnlessToldOtherwise)
{
    const std::string script = "# two drains\n\ndrain target a/b/c\ndrain target a/b/d\n";
    for (const bool keepGoing : {false, true}) {
        FakeDaemon daemon;
        daemon.reply = Reply{200, language::toJson(Result{Status::Refused, {"no"}, {}, {}})};
        SessionOptions options;
        options.keepGoing = keepGoing;
        options.changeId = "night";
        std::istringstream input(script);
        cr_expect(daemon.session(options).runScript(input, false) == Status::Refused);
        cr_expect_eq(daemon.calls.size(), keepGoing ? 2U : 1U);
        cr_expect(daemon.calls.front().changeId == "night-3");
    }
}

Test(top, showsTheBusiestTargetsAndNothingFromADaemonThatIsGone)
{
    const auto execute = [](const Call &call) -> std::optional<Reply> {
        if (call.text == "show metrics")
            return Reply{200, language::toJson(Result{Status::Done,
                                                      {"# HELP x\nbaobabtrail_config_revision 7\n"
                                                       "baobabtrail_links 3\n"},
                                                      {},
                                                      {}})};
        if (call.text == "show drains")
            return Reply{200, language::toJson(Result{})};
        return Reply{200, language::toJson(Result{Status::Done,
                                                  {},
                                                  {"target", "running"},
                                                  {{"t1", "-"}, {"t2", "1"}, {"t3", "12"}}})};
    };
    cr_assert(topScreen(execute)
              == "config_revision 7\n\ntargets:\ntarget  running\nt3      12\nt2      1\n"
                 "t1      -\n");
    cr_assert(!topScreen([](const Call &) { return std::optional<Reply>{}; }));
}
