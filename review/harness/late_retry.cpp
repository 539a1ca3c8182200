/// \file
/// \brief The store is down for some seconds while the seeds are stale. Once the daemons are in
/// touch again, they must follow the configuration.

#include "case.h"

namespace review {

namespace {

constexpr auto DownAt = 3600ms;
constexpr auto DownFor = 4500ms;
constexpr auto ChangeAt = DownAt + DownFor + 500ms;
constexpr auto AskUntil = DownAt + DownFor + 10s;
constexpr auto End = AskUntil + 3s;

} // namespace

int lateRetry(const std::string &folder, bool trouble)
{
    Deployment deployment({.daemons = 6, .servers = 4, .consumers = 6, .staleSeeds = true}, folder);
    Record &record = deployment.record;
    (void)deployment.configure({"r1", "r2"});
    if (!deployment.start()) {
        record.tell("the daemons didn't become ready");
        return CannotRun;
    }
    Time servedAt = record.start();
    Time acked;
    askEvery(deployment, 25ms, 1s, AskUntil, "r1");
    askEvery(deployment, 25ms, 1012ms, AskUntil, "r2");
    if (trouble) {
        deployment.at(DownAt, [&] {
            deployment.store.setSilent(true);
            record.line("the store is down");
        });
        deployment.at(DownAt + DownFor, [&] {
            deployment.store.setSilent(false);
            servedAt = Clock::now();
            record.line("the store serves again");
        });
    }
    deployment.at(ChangeAt, [&] { acked = deployment.configure({"r1"}); });
    deployment.run(End);

    std::size_t droppedRoute = 0;
    for (const Run &run : deployment.serverLog.runs) {
        const Time sent = synTimeOf(deployment, run.request);
        const bool inTouch = sent >= servedAt + Bounds::StabilityWindow;
        if (!inTouch || deployment.routeAt(run.route) != "r2"
            || sent <= acked + Bounds::ConfigApply)
            continue;
        ++droppedRoute;
        record.line("CONFIG: " + run.request + " ran on the dropped route r2, via "
                    + run.openedVia);
    }
    tellRequests(deployment);
    record.tell("CONFIG: requests run on a dropped route later than 3 s after the ack: "
                + std::to_string(droppedRoute));
    return droppedRoute > 0 ? Broken : Held;
}

} // namespace review
