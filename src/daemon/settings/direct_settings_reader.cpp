#include "daemon/settings/direct_settings_reader.h"

#include "daemon/settings/common_sections.h"

#include <string>
#include <vector>

namespace baobabtrail::daemon {

namespace {

/// Flows of a departed target are never forwarded for longer.
constexpr Duration MaxLifetime = std::chrono::years{10};

void readFeed(ObjectReader &reader, StoreFeedSettings &out)
{
    reader.duration("watchWait", out.watchWait, 100ms, 30s);
    reader.duration("gather", out.batchDelay, 0s, 10s);
    reader.duration("firstRetry", out.firstRetry, 1ms, 10s);
    reader.duration("mostRetry", out.maxRetry, 1ms, 1min);
    reader.duration("returnGrace", out.returnGrace, 0s, 1min);
    if (out.maxRetry < out.firstRetry)
        reader.addFinding("mostRetry", "must not be shorter than directory.firstRetry");
}

void readPeers(ObjectReader &reader, DirectNodeSettings &out)
{
    reader.duration("wait", out.peers.wait, 10ms, 30s);
    reader.duration("timeout", out.peers.timeout, 10ms, 30s);
    reader.duration("connectTimeout", out.peers.connectTimeout, 1ms, 30s);
    reader.duration("blankWait", out.peers.emptyWait, 10ms, 30s);
    reader.duration("headStart", out.peers.headStart, 0ms, 30s);
    reader.duration("copyHeadStart", out.peers.copyHeadStart, 0ms, 30s);
    reader.duration("longestAnswer", out.peers.answerTimeout, 10ms, 10min);
    reader.duration("copyTimeout", out.peers.copyTimeout, 10ms, 10min);
    reader.duration("retry", out.peers.retry, 1ms, 30s);
    reader.duration("forget", out.peers.retryFailedAfter, 1ms, 10min);
    reader.duration("staleAfter", out.peers.staleAfter, 10ms, 10min);
    reader.duration("patience", out.peers.startupWait, 0s, 10min);
    reader.number("maxFollowers", out.relay.maxFollowers, 1, 4096);
}

void readFlows(ObjectReader &reader, DirectSettings &out)
{
    reader.number("suspectAfter", out.suspectAfter, 1, 1000);
    reader.duration("trialEvery", out.trialEvery, 10ms, 10min);
    reader.duration("lapsedFor", out.lapsedFor, 0s, 10min);
    reader.bound("lifetime", out.flowLifetime, 1s, MaxLifetime, Rounding::Up);
    reader.duration("idleTimeout", out.idleTimeout, 1s, 24h);
    reader.number("maxFlows", out.maxFlows, 16, 16 << 20);
}

void readOverload(ObjectReader &reader, OverloadSettings &out)
{
    reader.real("saturatedShare", out.saturatedShare, 0.1, 10.0);
    reader.real("leastWindow", out.minWindow, 0.01, 1000.0);
    reader.real("mostWindow", out.maxWindow, 1.0, 10000.0);
    reader.real("shrink", out.decreaseFactor, 0.1, 1.0);
    reader.real("growth", out.increaseStep, 0.0, 100.0);
    reader.real("lateRoom", out.lateShare, 0.0, 1.0);
    reader.number("mostHeldOfTarget", out.maxHeldPerTarget, 0, 1 << 20);
    reader.number("mostHeldBytes", out.maxHeldBytes, 0, 1 << 30);
    if (out.maxWindow < out.minWindow)
        reader.addFinding("mostWindow", "must not be less than overload.leastWindow");
}

void readPlacement(ObjectReader &reader, PlacementSettings &out)
{
    reader.flag("spill", out.spill);
    reader.flag("reservations", out.reserve);
    reader.real("fullAt", out.fullAt, 0.1, 100.0);
    reader.real("spillUpTo", out.spillUpTo, 0.1, 100.0);
    reader.real("saturatedAt", out.saturatedAt, 0.1, 100.0);
    reader.real("relievedAt", out.relievedAt, 0.1, 100.0);
    reader.real("reservedFill", out.reservedFill, 0.1, 100.0);
    if (out.spillUpTo < out.fullAt)
        reader.addFinding("spillUpTo", "must not be less than placement.fullAt");
    if (out.relievedAt > out.saturatedAt)
        reader.addFinding("relievedAt", "must not be greater than placement.saturatedAt");
}

void readExperiments(ObjectReader &reader, DirectSettings &out)
{
    std::vector<Mechanism> without;
    reader.list("without", without, mechanismNamed, "the name of a mechanism");
    for (const Mechanism mechanism : without)
        out.mechanisms.leaveOut(mechanism);
    out.overload.hold = out.mechanisms.has(Mechanism::HoldRequests);
    out.overload.newestFirst = out.mechanisms.has(Mechanism::NewestFirst);
    out.overload.priorities = out.mechanisms.has(Mechanism::Priorities);
    PlacementSettings &placement = out.placement;
    placement.spill = placement.spill && out.mechanisms.has(Mechanism::Spill);
    placement.reserve = placement.reserve && out.mechanisms.has(Mechanism::Reservations);
}

void readDirectAddresses(ObjectReader &reader, DirectAddresses &out)
{
    reader.endpoint("packets", out.packets, Presence::Required);
    reader.endpoint("readiness", out.readiness, Presence::Required);
    reader.endpoint("metrics", out.metrics);
    reader.endpoint("peers", out.peers);
    reader.endpoint("peersReachedAt", out.peersReachedAt);
    reader.endpoint("usage", out.usage);
    if (!out.readiness.isNull() && out.readiness == out.metrics)
        reader.addFinding("metrics", "must not be the same as addresses.readiness");
    if (!out.usage.isNull() && out.usage == out.packets)
        reader.addFinding("usage", "must not be the same as addresses.packets");
    if (!out.usage.isNull() && out.peers.isNull())
        reader.addFinding("usage", "needs addresses.peers, by which other daemons are known");
}

void readUsage(ObjectReader &reader, UsageExchangeSettings &out)
{
    reader.flag("enabled", out.enabled);
    reader.duration("busyInterval", out.busyInterval, 50ms, 10s);
    reader.duration("calmInterval", out.calmInterval, 50ms, 1min);
    reader.number("missedReports", out.missedReports, 2, 100);
    if (out.calmInterval < out.busyInterval)
        reader.addFinding("calmInterval", "must not be shorter than usage.busyInterval");
}

void readEvidence(ObjectReader &reader, EvidenceSettings &out)
{
    reader.flag("enabled", out.enabled);
    reader.number("reporters", out.reporters, 1, EvidenceTable::MaxReporters);
}

} // namespace

void readDirectSettings(ObjectReader &reader, DirectDaemonSettings &out)
{
    std::string forwarding;
    reader.text("forwarding", forwarding, Presence::Required);
    reader.text("name", out.name, Presence::Required);
    reader.text("domain", out.domain, Presence::Required);
    reader.section(
        "addresses", [&](ObjectReader &nested) { readDirectAddresses(nested, out.addresses); },
        Presence::Required);
    reader.section(
        "store", [&](ObjectReader &nested) { readPlatform(nested, out.store); },
        Presence::Required);
    reader.bound("killedAfter", out.killedAfter, 0s, 1h, Rounding::Down);
    reader.duration("stopLinger", out.stopLinger, 0s, 10min);
    reader.section("sockets", [&](ObjectReader &nested) { readSockets(nested, out.sockets); });
    reader.section("log", [&](ObjectReader &nested) { readLog(nested, out.log); });
    reader.section("restarts", [&](ObjectReader &nested) { readRestarts(nested, out.restarts); });
    reader.list("roots", out.roots, parseEndpoint, "an IPv4 address with a port");
    reader.section("directory", [&](ObjectReader &nested) { readFeed(nested, out.node.store); });
    reader.section("peers", [&](ObjectReader &nested) { readPeers(nested, out.node); });
    reader.section("flows", [&](ObjectReader &nested) { readFlows(nested, out.node.flows); });
    reader.section("usage", [&](ObjectReader &nested) { readUsage(nested, out.node.usage); });
    reader.section("overload",
                   [&](ObjectReader &nested) { readOverload(nested, out.node.flows.overload); });
    reader.section("placement",
                   [&](ObjectReader &nested) { readPlacement(nested, out.node.flows.placement); });
    reader.section("evidence",
                   [&](ObjectReader &nested) { readEvidence(nested, out.node.evidence); });
    reader.section("experiments",
                   [&](ObjectReader &nested) { readExperiments(nested, out.node.flows); });
    EvidenceSettings &evidence = out.node.evidence;
    evidence.enabled = evidence.enabled && out.node.flows.mechanisms.has(Mechanism::SharedEvidence);
    reader.finish();
}

} // namespace baobabtrail::daemon
