#include "support/deployment.h"

#include <criterion/criterion.h>

using namespace baobabtrail::test;

namespace {

[[nodiscard]] std::int64_t numberAt(const boost::json::value &stats, const std::string &group,
                                    const std::string &name)
{
    const boost::json::object &values = stats.at(group).as_object();
    return values.contains(name) ? values.at(name).to_number<std::int64_t>() : 0;
}

/// \brief The two lines that a caller prints when it exits.
struct CallerReport
{
    explicit CallerReport(Process &caller)
        : stats(boost::json::parse(caller.readLine()))
        , ids(boost::json::parse(caller.readLine()))
    {
    }

    boost::json::value stats;
    boost::json::value ids;
};

} // namespace

// Guards against flows that break when a daemon is killed. Three daemons serve 30 feeds; one is
// killed while data flows, and the fabric keeps spraying datagrams to it for a while. Daemons keep
// no state of a flow, so each feed must continue over the other two.
Test(system, killedDaemonBreaksNoEstablishedFlow)
{
    constexpr std::int64_t Feeds = 30;
    Deployment deployment{3, 2, {"--push_ms=100"}};
    const auto caller = deployment.startCaller(
        {"--feeds=" + std::to_string(Feeds), "--data_ms=100", "--seconds=120"});
    const auto stats = [&] { return getJson(caller->ports().at("control"), "/stats"); };
    waitUntil("open feeds", [&] { return numberAt(stats(), "flows", "open") == Feeds; });

    deployment.daemon(1).send(SIGKILL);
    deployment.daemon(1).waitForEnd();
    const auto before = stats();
    waitUntil("lost datagrams", [&] {
        return numberAt(stats(), "flows", "dataSent") - numberAt(before, "flows", "dataSent")
               > 2 * Feeds;
    });
    deployment.removeFromFabric(1);
    const auto after = stats();
    // Each feed sends ten times a second, so this many echoes show that the feeds work again.
    waitUntil("echoes after the kill", [&] {
        return numberAt(stats(), "flows", "echoes") - numberAt(after, "flows", "echoes")
               > 10 * Feeds;
    });

    caller->send(SIGTERM);
    const CallerReport report{*caller};
    cr_assert_eq(numberAt(report.stats, "flows", "broken"), 0);
    cr_assert_eq(numberAt(report.stats, "flows", "open"), Feeds);
    cr_assert_eq(numberAt(report.stats, "flows", "opened"), Feeds);
    cr_assert_eq(numberAt(report.stats, "flows", "wrongData"), 0);
}

// The owner of requests is stopped with requests queued and resumes after their deadlines. Their
// callers have got an outcome or timed out by then, but the owner still holds the requests. It must
// not run one that was refused elsewhere, nor one that has already run.
Test(system, ownerFrozenPastTheDeadlineRunsNothingTwice)
{
    constexpr std::int64_t Requests = 400;
    Deployment deployment{2, 2, {"--push_ms=0", "--service_us=20000"}};
    const auto caller
        = deployment.startCaller({"--rate=120", "--max_requests=" + std::to_string(Requests),
                                  "--deadline_ms=700", "--seconds=120"});
    const auto stats = [&] { return getJson(caller->ports().at("control"), "/stats"); };
    waitUntil("answers", [&] { return numberAt(stats(), "requests", "answered") > 50; });

    deployment.daemon(0).send(SIGSTOP);
    waitUntil("requests past their deadline", [&] {
        const auto now = stats();
        return numberAt(now, "requests", "timedOut") + numberAt(now, "requests", "unknown") > 10;
    });
    deployment.daemon(0).send(SIGCONT);
    waitUntil("the daemon that woke", [&] { return deployment.control(0, "show revision") == 0; });
    waitUntil("the end of every request", [&] {
        const auto now = stats();
        return numberAt(now, "requests", "sent") == Requests
               && numberAt(now, "requests", "pending") == 0;
    });

    caller->send(SIGTERM);
    const CallerReport report{*caller};
    const auto runs = deployment.runs();
    for (const auto &[id, count] : runs)
        cr_assert_eq(count, 1, "request %s ran %d times", id.c_str(), static_cast<int>(count));
    for (const auto &id : report.ids.at("notRun").as_array())
        cr_assert_not(runs.contains(id.as_string().c_str()), "refused as not run, but ran");
    for (const auto &id : report.ids.at("answered").as_array())
        cr_assert(runs.contains(id.as_string().c_str()), "answered, but never ran");
    cr_assert_eq(numberAt(report.stats, "requests", "answeredAfterNotRun"), 0);
    cr_assert_eq(numberAt(report.stats, "requests", "wrongAnswers"), 0);
}
