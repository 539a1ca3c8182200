/// \file
/// \brief A daemon freezes while flows open. It must not send on, when it wakes, opening packets
/// whose flows have opened through another daemon since.

#include "case.h"

namespace review {

namespace {

constexpr std::size_t Frozen = 0; ///< Index of the daemon.
constexpr auto FreezeAt = 1s;
constexpr auto FreezeFor = 4s;
constexpr auto OpenFrom = FreezeAt + 200ms;
constexpr auto OpenUntil = FreezeAt + 1600ms;
constexpr auto OpenEvery = 20ms;
/// Each flow pauses until then: the daemon is in touch, and no flow has been idle for 12 s.
constexpr auto AskAgainAt = FreezeAt + FreezeFor + 4600ms;
constexpr auto End = AskAgainAt + 4s;

/// \return Whether three or more of the flow's packets reached other servers within the bound of
/// FLOW, and none its own.
bool wentAstray(const Deployment &deployment, const OpenedFlow &flow, Time from)
{
    const auto found = deployment.serverLog.arrivals.find(flow.end);
    if (found == deployment.serverLog.arrivals.end())
        return false;
    int astray = 0;
    for (const Arrival &arrival : found->second) {
        if (arrival.at < from || arrival.at > from + Bounds::Flow)
            continue;
        if (arrival.server == flow.server)
            return false;
        ++astray;
    }
    return astray >= Bounds::FlowPackets;
}

} // namespace

int lateOpening(const std::string &folder, bool trouble)
{
    Deployment deployment({.daemons = 3, .servers = 6, .consumers = 4}, folder);
    Record &record = deployment.record;
    (void)deployment.configure({"r1"});
    if (!deployment.start()) {
        record.tell("the daemons didn't become ready");
        return CannotRun;
    }
    if (trouble) {
        deployment.at(FreezeAt, [&] {
            record.line("edge-A freezes");
            deployment.daemons[Frozen].signal(SIGSTOP);
        });
        deployment.at(FreezeAt + FreezeFor, [&] {
            deployment.daemons[Frozen].signal(SIGCONT);
            record.line("edge-A wakes");
        });
    }
    std::size_t turn = 0;
    std::vector<std::pair<Consumer *, std::uint16_t>> opened;
    for (Clock::duration time = OpenFrom; time < OpenUntil; time += OpenEvery) {
        Consumer *consumer = deployment.consumers[turn++ % deployment.consumers.size()].get();
        deployment.at(time, [&deployment, &opened, consumer] {
            opened.emplace_back(consumer, consumer->ask("r1", deployment.route("r1"), false));
        });
    }
    Time askedAgainAt;
    deployment.at(AskAgainAt, [&] {
        askedAgainAt = Clock::now();
        for (const auto &[consumer, port] : opened)
            consumer->askAgain(port);
    });
    deployment.run(End);

    std::size_t flows = 0;
    std::size_t broken = 0;
    for (const auto &consumer : deployment.consumers) {
        for (const auto &[port, flow] : consumer->flows()) {
            if (!flow.openedAt || flow.requestIds.size() < 2)
                continue;
            ++flows;
            const bool resetByOther
                = flow.resetAt && *flow.resetAt >= askedAgainAt && flow.resetBy != flow.server;
            const bool astray = wentAstray(deployment, flow, askedAgainAt);
            if (!resetByOther && !astray)
                continue;
            ++broken;
            const Request *request = requestOf(deployment, flow.requestIds.back());
            record.line("FLOW: " + flow.end.text() + " is open at " + flow.server
                        + (resetByOther ? " and was reset by " + flow.resetBy
                                        : ", and its packets went to another server")
                        + "; its request " + request->id
                        + (request->answeredAt ? " was answered" : " was never answered"));
        }
    }
    tellRequests(deployment);
    record.tell("flows that were open and sent a second request: " + std::to_string(flows));
    record.tell("FLOW: of these, flows that lost their server: " + std::to_string(broken));
    if (flows == 0)
        return CannotRun;
    return broken > 0 ? Broken : Held;
}

} // namespace review
