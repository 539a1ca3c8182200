#include "daemon/settings/settings_reader.h"

#include "core/access_key.h"
#include "daemon/settings/object_reader.h"
#include "daemon/settings/secret_file.h"

#include <boost/asio/ip/address_v4.hpp>
#include <boost/json/parser.hpp>

#include <algorithm>
#include <array>
#include <fstream>
#include <iterator>
#include <optional>

namespace baobabtrail::daemon {

namespace {

constexpr std::size_t MinSecretBytes = 32;
constexpr std::size_t MinOperatorKeyBytes = 16;

[[nodiscard]] Finding syntaxFinding(std::string_view text, std::size_t offset,
                                    const boost::system::error_code &error)
{
    const std::string_view before = text.substr(0, offset);
    const auto line = std::count(before.begin(), before.end(), '\n') + 1;
    const std::size_t lineStart = before.rfind('\n') + 1; // npos + 1 is 0
    const std::size_t column = offset - lineStart + 1;
    return {"line " + std::to_string(line) + ", column " + std::to_string(column), error.message()};
}

[[nodiscard]] std::optional<std::uint32_t> parseAddress(std::string_view text)
{
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address_v4(text, error);
    if (error)
        return std::nullopt;
    return address.to_uint();
}

[[nodiscard]] std::optional<std::string> parseKeyHash(std::string_view text)
{
    if (!isAccessKeyHash(text))
        return std::nullopt;
    return std::string{text};
}

void readSecret(ObjectReader &reader, std::string_view key, const std::string &path,
                std::size_t minBytes, std::string &out)
{
    auto result = readSecretFile(path);
    if (const auto *error = std::get_if<SecretError>(&result)) {
        reader.addFinding(key, path + ' ' + error->text);
        return;
    }
    std::string &secret = std::get<std::string>(result);
    if (secret.size() < minBytes) {
        reader.addFinding(key, path + " holds fewer than " + std::to_string(minBytes) + " bytes");
        return;
    }
    out = std::move(secret);
}

void readAddresses(ObjectReader &reader, ListenAddresses &out)
{
    reader.endpoint("data", out.data, Presence::Required);
    reader.endpoint("peer", out.peer, Presence::Required);
    reader.endpoint("records", out.records, Presence::Required);
    reader.endpoint("administration", out.administration, Presence::Required);
    if (!out.data.isNull() && out.data == out.peer)
        reader.addFinding("peer", "must not be the same as addresses.data");
    if (!out.records.isNull() && out.records == out.administration)
        reader.addFinding("administration", "must not be the same as addresses.records");
}

void readPlatform(ObjectReader &reader, PlatformClientSettings &out)
{
    reader.endpoint("address", out.platform, Presence::Required);
    reader.duration("timeout", out.timeout, 10ms, 1min);
    reader.duration("longestAnswer", out.maxAnswerTime, 0s, 10min);
}

void readAdministration(ObjectReader &reader, AdministrationSettings &out)
{
    std::string keyFile;
    reader.text("operatorKeyFile", keyFile);
    reader.list("operatorKeyHashes", out.operatorKeyHashes, parseKeyHash,
                "64 hexadecimal digits of a key's hash");
    reader.duration("timeout", out.timeout, 100ms, 10min);
    reader.number("maxBodyBytes", out.maxBodyBytes, 1024, 64 << 20);
    reader.number("maxConnections", out.maxConnections, 1, 4096);
    if (keyFile.empty())
        return;
    std::string key;
    readSecret(reader, "operatorKeyFile", keyFile, MinOperatorKeyBytes, key);
    if (!key.empty())
        out.operatorKeyHashes.push_back(accessKeyHash(key));
}

void readSockets(ObjectReader &reader, SocketSettings &out)
{
    reader.number("batch", out.batch, 1, 256);
    reader.number("receiveBufferBytes", out.receiveBufferBytes, 4096, 1 << 30);
    reader.number("sendBufferBytes", out.sendBufferBytes, 4096, 1 << 30);
}

void readLinks(ObjectReader &reader, LinkSettings &out)
{
    reader.duration("connectTimeout", out.connectTimeout, 10ms, 1min);
    reader.number("maxQueuedBytes", out.maxQueuedBytes, 64 << 10, 1 << 30);
}

void readRecords(ObjectReader &reader, RecordsSettings &out)
{
    reader.duration("timeout", out.timeout, 10ms, 1min);
    reader.number("contexts", out.connections, 1, 256); // Deprecated alias of connections.
    reader.number("connections", out.connections, 1, 4096);
}

void readLog(ObjectReader &reader, LogSettings &out)
{
    struct Level
    {
        std::string_view name;
        Severity severity;
    };
    constexpr std::array levels{Level{"debug", Severity::Debug}, Level{"info", Severity::Info},
                                Level{"warning", Severity::Warning},
                                Level{"error", Severity::Error}};
    std::string name;
    reader.text("level", name);
    const auto *level = std::find_if(levels.begin(), levels.end(),
                                     [&](const Level &entry) { return entry.name == name; });
    if (level != levels.end())
        out.level = level->severity;
    else if (!name.empty())
        reader.addFinding("level", "expected debug, info, warning or error");
    reader.number("linesPerSecond", out.linesPerSecond, 1, 10000);
}

void readRestarts(ObjectReader &reader, RestartPolicy &out)
{
    reader.duration("firstDelay", out.firstDelay, 1ms, 1min);
    reader.duration("maxDelay", out.maxDelay, 1ms, 10min);
    reader.number("maxFailures", out.maxFailures, 0, 1000);
    reader.duration("window", out.window, 100ms, 1h);
    if (out.maxDelay < out.firstDelay)
        reader.addFinding("maxDelay", "must not be shorter than restarts.firstDelay");
}

void readTraffic(ObjectReader &reader, TrafficSettings &out)
{
    reader.number("maxRequests", out.maxRequests, 16, 16 << 20);
    reader.number("maxPendingOpens", out.maxPendingOpens, 16, 16 << 20);
    reader.number("maxHops", out.maxHops, 0, 8);
    reader.duration("maxDeadline", out.maxDeadline, 100ms, 1h);
    reader.duration("reservationLapse", out.reservationLapse, 10ms, 1min);
    reader.duration("openTimeout", out.openTimeout, 5ms, 1min);
    reader.number("silentAfter", out.silentAfter, 1, 1000);
    reader.number("maxAnswerResends", out.maxAnswerResends, 0, 1000);
    reader.number("maxAnswerBytes", out.maxAnswerBytes, 1 << 20, std::uint64_t{1} << 36);
    reader.number("answerPartBytes", out.answerPartBytes, 128, 32768);
}

void readControl(ObjectReader &reader, ControlSettings &out)
{
    reader.duration("pingPeriod", out.pingPeriod, 10ms, 1min);
    reader.duration("pingTimeout", out.pingTimeout, 1ms, 1min);
    reader.duration("suspicion", out.suspicion, 10ms, 10min);
    reader.duration("antiEntropyPeriod", out.antiEntropyPeriod, 10ms, 10min);
    reader.duration("vmListPeriod", out.vmListPeriod, 10ms, 1h);
    reader.duration("watchWait", out.watchWait, 10ms, 10min);
    reader.number("watchersPerDomain", out.watchersPerDomain, 1, 64);
    reader.number("noticeFanOut", out.noticeFanOut, 1, 64);
    reader.duration("addressQuarantine", out.addressQuarantine, 0s, 24h);
    reader.number("snapshotEvery", out.snapshotEvery, 1, 1 << 20);
    if (out.pingTimeout >= out.pingPeriod)
        reader.addFinding("pingTimeout", "must be shorter than control.pingPeriod");
}

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
    reader.duration("lifetime", out.flowLifetime, 1s, 24h);
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

void readExperiments(ObjectReader &reader, DirectSettings &out)
{
    std::vector<Mechanism> without;
    reader.list("without", without, mechanismNamed, "the name of a mechanism");
    for (const Mechanism mechanism : without)
        out.mechanisms.leaveOut(mechanism);
    out.overload.hold = out.mechanisms.has(Mechanism::HoldRequests);
    out.overload.newestFirst = out.mechanisms.has(Mechanism::NewestFirst);
    out.overload.priorities = out.mechanisms.has(Mechanism::Priorities);
    out.placement.spill = out.mechanisms.has(Mechanism::Spill);
    out.placement.reserve = out.mechanisms.has(Mechanism::Reservations);
    out.placement.admit = out.mechanisms.has(Mechanism::Admission);
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

void readDirectRoot(ObjectReader &reader, DirectDaemonSettings &out)
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
    reader.duration("killedAfter", out.killedAfter, 0s, 1h);
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
    reader.section("experiments",
                   [&](ObjectReader &nested) { readExperiments(nested, out.node.flows); });
    reader.finish();
}

void readRoot(ObjectReader &reader, Settings &out)
{
    std::string forwarding;
    reader.text("forwarding", forwarding);
    std::uint64_t daemon = 0;
    reader.number("daemon", daemon, 1, std::numeric_limits<std::uint64_t>::max(),
                  Presence::Required);
    out.daemon = DaemonId{daemon};
    reader.text("domain", out.domain, Presence::Required);
    reader.section(
        "addresses", [&](ObjectReader &nested) { readAddresses(nested, out.addresses); },
        Presence::Required);
    reader.list("fabric", out.fabric, parseAddress, "an IPv4 address", Presence::Required);
    reader.section(
        "platform", [&](ObjectReader &nested) { readPlatform(nested, out.platform); },
        Presence::Required);
    reader.list("seeds", out.control.seeds, parseEndpoint, "an IPv4 address with a port");
    reader.section(
        "administration",
        [&](ObjectReader &nested) { readAdministration(nested, out.administration); },
        Presence::Required);

    std::string secretFile;
    reader.text("clusterSecretFile", secretFile, Presence::Required);
    if (!secretFile.empty())
        readSecret(reader, "clusterSecretFile", secretFile, MinSecretBytes, out.clusterSecret);

    reader.duration("stopTimeout", out.stopTimeout, 0s, 1h);
    reader.duration("stopLinger", out.stopLinger, 0s, 10min);
    reader.section("sockets", [&](ObjectReader &nested) { readSockets(nested, out.sockets); });
    reader.section("links", [&](ObjectReader &nested) { readLinks(nested, out.links); });
    reader.section("records", [&](ObjectReader &nested) { readRecords(nested, out.records); });
    reader.section("log", [&](ObjectReader &nested) { readLog(nested, out.log); });
    reader.section("metrics", [&](ObjectReader &nested) {
        // Settings files call workspaces tenants.
        nested.number("maxTenants", out.metrics.maxWorkspaces, 1, 4096);
    });
    reader.section("restarts", [&](ObjectReader &nested) { readRestarts(nested, out.restarts); });
    reader.section("traffic", [&](ObjectReader &nested) { readTraffic(nested, out.traffic); });
    reader.section("control", [&](ObjectReader &nested) { readControl(nested, out.control); });
    reader.finish();
}

/// \return The root object of a settings file, or a finding with the syntax error.
[[nodiscard]] std::variant<boost::json::object, Findings> parseRoot(std::string_view text)
{
    boost::json::parse_options options;
    options.allow_comments = true;
    options.allow_trailing_commas = true;
    boost::json::parser parser{{}, options};
    boost::system::error_code error;
    const std::size_t consumed = parser.write_some(text.data(), text.size(), error);
    if (error)
        return Findings{syntaxFinding(text, consumed, error)};
    if (text.find_first_not_of(" \t\r\n", consumed) != std::string_view::npos)
        return Findings{syntaxFinding(text, consumed, boost::json::error::extra_data)};

    boost::json::value root = parser.release();
    if (!root.is_object())
        return Findings{{"line 1, column 1", "expected an object"}};
    return std::move(root.get_object());
}

template <typename Result, typename Read>
[[nodiscard]] std::variant<Result, Findings> readObject(const boost::json::object &root, Read read)
{
    Result settings;
    Findings findings;
    ObjectReader reader{root, {}, findings};
    read(reader, settings);
    if (!findings.empty())
        return findings;
    return settings;
}

template <typename Result>
[[nodiscard]] AnySettings toAnySettings(std::variant<Result, Findings> result)
{
    if (auto *findings = std::get_if<Findings>(&result))
        return std::move(*findings);
    return std::get<Result>(std::move(result));
}

[[nodiscard]] Findings notOpened(const std::filesystem::path &path)
{
    return {{path.string(), "can't be opened"}};
}

} // namespace

std::optional<std::string> contentOf(const std::filesystem::path &path)
{
    std::ifstream file{path, std::ios::binary};
    if (!file)
        return std::nullopt;
    return std::string{std::istreambuf_iterator<char>{file}, {}};
}

std::variant<Settings, Findings> readSettings(std::string_view text)
{
    const auto root = parseRoot(text);
    if (const auto *findings = std::get_if<Findings>(&root))
        return *findings;
    return readObject<Settings>(std::get<boost::json::object>(root), readRoot);
}

AnySettings readAnySettings(std::string_view text)
{
    const auto parsed = parseRoot(text);
    if (const auto *findings = std::get_if<Findings>(&parsed))
        return *findings;
    const auto &root = std::get<boost::json::object>(parsed);
    const boost::json::value *forwarding = root.if_contains("forwarding");
    if (!forwarding || *forwarding == "tokens")
        return toAnySettings(readObject<Settings>(root, readRoot));
    if (*forwarding == "direct")
        return toAnySettings(readObject<DirectDaemonSettings>(root, readDirectRoot));
    return Findings{{"forwarding", "expected tokens or direct"}};
}

std::variant<Settings, Findings> readSettingsFile(const std::filesystem::path &path)
{
    const auto text = contentOf(path);
    return text ? readSettings(*text) : std::variant<Settings, Findings>{notOpened(path)};
}

AnySettings readAnySettings(const std::optional<std::string> &content,
                            const std::filesystem::path &path)
{
    return content ? readAnySettings(*content) : AnySettings{notOpened(path)};
}

} // namespace baobabtrail::daemon
