/// \file
/// \brief A daemon whose seeds are stale freezes for four seconds and wakes. It must follow the
/// configuration and the servers' states again once it is in touch.

#include "case.h"

#include <algorithm>

namespace review {

namespace {

constexpr std::size_t Frozen = 0; ///< Index of the daemon.
constexpr auto FreezeAt = 3s;
constexpr auto FreezeFor = 4s;
constexpr auto ChangeAt = 12s;
constexpr auto LeaveAt = ChangeAt + 5s;
constexpr auto AskUntil = ChangeAt + 12s;
constexpr auto End = AskUntil + 3s;
constexpr auto Recently = 2s;

/// \return Index of the server that ran most of the requests that the daemon sent on lately.
std::size_t busiestServer(const Deployment &deployment, const std::string &daemon)
{
    std::size_t best = 0;
    std::ptrdiff_t most = -1;
    for (std::size_t index = 0; index < deployment.servers.size(); ++index) {
        const std::string name = deployment.servers[index]->name();
        const auto counts = [&](const Run &run) {
            return run.server == name && run.openedVia == daemon
                   && run.at > Clock::now() - Recently;
        };
        const std::vector<Run> &runs = deployment.serverLog.runs;
        const auto count = std::count_if(runs.begin(), runs.end(), counts);
        if (count <= most)
            continue;
        best = index;
        most = count;
    }
    return best;
}

} // namespace

int staleAfterFreeze(const std::string &folder, bool trouble)
{
    Deployment deployment({.daemons = 2, .servers = 8, .consumers = 4, .staleSeeds = true}, folder);
    Record &record = deployment.record;
    (void)deployment.configure({"r1", "r2"});
    if (!deployment.start()) {
        record.tell("the daemons didn't become ready");
        return CannotRun;
    }
    Time wokenAt = record.start();
    Time configAcked;
    Time drainAcked;
    std::size_t drained = 0;
    std::string drainedName;
    askEvery(deployment, 8ms, 1s, AskUntil, "r1");
    askEvery(deployment, 100ms, 1050ms, AskUntil, "r2");
    if (trouble) {
        deployment.at(FreezeAt, [&] {
            record.line("edge-A freezes");
            deployment.daemons[Frozen].signal(SIGSTOP);
        });
        deployment.at(FreezeAt + FreezeFor, [&] {
            deployment.daemons[Frozen].signal(SIGCONT);
            wokenAt = Clock::now();
            record.line("edge-A wakes");
        });
    }
    deployment.at(ChangeAt, [&] {
        configAcked = deployment.configure({"r1"});
        drained = busiestServer(deployment, Deployment::nameOfDaemon(Frozen));
        drainedName = deployment.servers[drained]->name();
        drainAcked = deployment.drain(drained);
    });
    deployment.at(LeaveAt, [&] { deployment.leave(drained); });
    deployment.run(End);

    // Only flows that edge-A took and sent on while it was in touch.
    std::size_t droppedRoute = 0;
    std::size_t drainedServer = 0;
    for (const Run &run : deployment.serverLog.runs) {
        const Time sent = synTimeOf(deployment, run.request);
        if (sent < wokenAt + Bounds::StabilityWindow)
            continue;
        if (deployment.routeAt(run.route) == "r2" && sent > configAcked + Bounds::ConfigApply) {
            ++droppedRoute;
            record.line("CONFIG: " + run.request + " ran on the dropped route r2, via "
                        + run.openedVia);
        }
        if (run.server == drainedName && run.openedAt > drainAcked + Bounds::Drain) {
            ++drainedServer;
            record.line("DRAIN: " + run.request + " reached the draining server via "
                        + run.openedVia);
        }
    }
    std::size_t lost = 0;
    for (const auto &consumer : deployment.consumers) {
        for (const Request &request : consumer->requests()) {
            const bool late = request.sentAt > drainAcked + Bounds::Drain;
            if (late && request.route == "r1" && !request.answeredAt)
                ++lost;
        }
    }
    tellRequests(deployment);
    record.tell("requests on route r1 without an answer, sent after the bound: "
                + std::to_string(lost));
    record.tell("CONFIG: requests run on a dropped route later than 3 s after the ack: "
                + std::to_string(droppedRoute));
    record.tell("DRAIN: requests that reached a draining server later than 3 s after the ack: "
                + std::to_string(drainedServer));
    return droppedRoute + drainedServer > 0 ? Broken : Held;
}

} // namespace review
