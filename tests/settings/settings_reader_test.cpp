#include "core/access_key.h"
#include "daemon/admin/access_keys.h"
#include "daemon/settings/duration_text.h"
#include "daemon/settings/settings_reader.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <string>
#include <unistd.h>

#include <criterion/criterion.h>

using namespace baobabtrail;
using namespace baobabtrail::daemon;

namespace {

/// \brief A temporary directory for one test; removed by the destructor.
class ScratchDirectory
{
public:
    ScratchDirectory()
    {
        std::string pattern = std::filesystem::temp_directory_path() / "settings-XXXXXX";
        m_path = ::mkdtemp(pattern.data());
    }
    ~ScratchDirectory() { std::filesystem::remove_all(m_path); }
    ScratchDirectory(const ScratchDirectory &) = delete;
    ScratchDirectory &operator=(const ScratchDirectory &) = delete;

    [[nodiscard]] std::string write(const std::string &name, const std::string &content,
                                    std::filesystem::perms mode) const
    {
        const auto path = m_path / name;
        std::ofstream{path} << content;
        std::filesystem::permissions(path, mode);
        return path;
    }

private:
    std::filesystem::path m_path;
};

constexpr auto OwnerOnly = std::filesystem::perms::owner_read;
const std::string Secret(32, 's');

[[nodiscard]] std::string settingsText(const std::string &secretFile, const std::string &more = {})
{
    return R"({
    // Who this daemon is.
    "daemon": 7, "domain": "alx-raml",
    "addresses": {"data": "127.0.0.1:7000", "peer": "127.0.0.1:7001",
                  "records": "127.0.0.1:7002", "administration": "127.0.0.1:7003"},
    "fabric": ["127.0.0.1"],
    "platform": {"address": "127.0.0.1:8000", "timeout": "2s"}, /* the stand-in */
    "seeds": ["127.0.0.1:7101"],
    "administration": {"operatorKeyHashes": [")"
           + accessKeyHash("a key of an operator") + R"("]},
    "clusterSecretFile": ")"
           + secretFile + '"' + more + "}";
}

[[nodiscard]] Findings findingsOf(const std::string &text)
{
    const auto result = readSettings(text);
    const auto *findings = std::get_if<Findings>(&result);
    return findings ? *findings : Findings{};
}

[[nodiscard]] bool contains(const Findings &findings, const std::string &place,
                            const std::string &text)
{
    return std::any_of(findings.begin(), findings.end(), [&](const Finding &finding) {
        return finding.place == place && finding.text.find(text) != std::string::npos;
    });
}

} // namespace

Test(settings, wholeFileIsRead)
{
    const ScratchDirectory scratch;
    const auto secret = scratch.write("secret", Secret + "\n", OwnerOnly);
    const auto result = readSettings(settingsText(secret, R"(, "control": {"pingPeriod": "2s"})"));
    const auto *settings = std::get_if<Settings>(&result);
    cr_assert(settings);
    cr_assert(settings->daemon == DaemonId{7});
    cr_assert((settings->addresses.administration == Endpoint{0x7f000001, 7003}));
    cr_assert((settings->fabric == std::vector<std::uint32_t>{0x7f000001}));
    cr_assert((settings->control.seeds == std::vector<Endpoint>{{0x7f000001, 7101}}));
    cr_assert(settings->control.pingPeriod == 2s);
    cr_assert(settings->platform.timeout == 2s);
    cr_assert(settings->clusterSecret == Secret);
    cr_assert(settings->stopTimeout == 30s);
}

// Guards against a newer release that rejects settings which an older one accepted.
Test(settings, deprecatedNameOfRecordsConnectionsIsRead)
{
    const ScratchDirectory scratch;
    const auto secret = scratch.write("secret", Secret, OwnerOnly);
    const auto result = readSettings(settingsText(secret, R"(, "records": {"contexts": 12})"));
    const auto *settings = std::get_if<Settings>(&result);
    cr_assert(settings);
    cr_assert_eq(settings->records.connections, 12);
}

Test(settings, everyFindingIsReportedAtOnceWithItsKeyPath)
{
    const ScratchDirectory scratch;
    const auto secret = scratch.write("secret", Secret, OwnerOnly);
    const auto findings = findingsOf(R"({
        "daemon": 0, "domian": "alx-raml",
        "addresses": {"data": "here", "peer": "127.0.0.1:7001", "records": "127.0.0.1:7002",
                      "administration": "127.0.0.1:7002"},
        "fabric": ["127.0.0.1", 5],
        "administration": {"operatorKeyHashes": ["abc"]},
        "clusterSecretFile": ")" + secret
                                     + R"(",
        "control": {"pingPeriod": "100ms", "pingTimeout": 300, "suspicion": "9h", "fanOut": 3}
    })");
    const Findings expected{
        {"daemon", "must lie between 1"},
        {"domain", "is missing"},
        {"domian", "unknown key; did you mean \"domain\"?"},
        {"addresses.data", "expected an IPv4 address with a port"},
        {"addresses.administration", "must not be the same as addresses.records"},
        {"fabric[1]", "expected an IPv4 address"},
        {"platform", "is missing"},
        {"administration.operatorKeyHashes[0]", "expected 64 hexadecimal digits"},
        {"control.pingTimeout", "expected a time with its unit"},
        {"control.pingTimeout", "must be shorter than control.pingPeriod"},
        {"control.suspicion", "must lie between 10ms and 10min"},
        {"control.fanOut", "unknown key"},
    };
    for (const Finding &finding : expected)
        cr_expect(contains(findings, finding.place, finding.text), "%s: %s", finding.place.c_str(),
                  finding.text.c_str());
    cr_assert_eq(findings.size(), expected.size());
}

Test(settings, syntaxErrorIsReportedWithItsLineAndColumn)
{
    const auto findings = findingsOf("{\n  \"daemon\": 7,\n  \"domain\" \"x\"\n}\n");
    cr_assert_eq(findings.size(), 1);
    cr_assert_str_eq(findings[0].place.c_str(), "line 3, column 12");

    const auto unfinished = findingsOf("{\n  \"daemon\": 7");
    cr_assert_eq(unfinished.size(), 1);
    cr_assert_str_eq(unfinished[0].place.c_str(), "line 2, column 14");

    const auto twice = findingsOf("{}\n {}");
    cr_assert_eq(twice.size(), 1);
    cr_assert_str_eq(twice[0].place.c_str(), "line 2, column 2");
}

// Guards against a secret that other accounts on the VM can access, as with mode 0644: they could
// forge tokens and messages between daemons. The daemon must refuse to start and say how to fix it.
Test(settings, secretThatOthersMayReadIsRefused)
{
    const ScratchDirectory scratch;
    using std::filesystem::perms;
    for (const perms mode : {perms::group_read, perms::others_read, perms::group_write}) {
        const auto name = "secret" + std::to_string(static_cast<unsigned>(mode));
        const auto open = scratch.write(name, Secret, OwnerOnly | mode);
        cr_expect(contains(findingsOf(settingsText(open)), "clusterSecretFile", "open to group"));
    }
    const auto shortSecret = scratch.write("short", "too short", OwnerOnly);
    cr_expect(
        contains(findingsOf(settingsText(shortSecret)), "clusterSecretFile", "fewer than 32"));
    cr_expect(contains(findingsOf(settingsText("/nowhere/secret")), "clusterSecretFile",
                       "can't be opened"));
}

// The example settings get copied, so they must be valid. Only their secret files, which don't
// exist on the test machine, may be reported.
Test(settings, examplesAreValidApartFromTheirSecrets)
{
    const std::filesystem::path examples{BAOBABTRAIL_SOURCE_DIR "/examples"};
    std::size_t files = 0;
    for (const auto &entry : std::filesystem::directory_iterator{examples}) {
        const auto result = readSettingsFile(entry.path());
        const auto *findings = std::get_if<Findings>(&result);
        cr_assert(findings);
        for (const Finding &finding : *findings)
            cr_expect(finding.text.find("/etc/baobabtrail/") == 0, "%s: %s: %s",
                      entry.path().c_str(), finding.place.c_str(), finding.text.c_str());
        ++files;
    }
    cr_assert_eq(files, 2);
}

// Guards against daemons that don't start, as a figure of their settings is a fraction.
Test(settings, timesMayBeFractions)
{
    const std::pair<const char *, Duration> times[]{
        {"6.5s", 6500ms},
        {"6.50s", 6500ms},
        {"0.5s", 500ms},
        {"6.0s", 6s},
        {"1e1s", 10s},
        {"1E+1s", 10s},
        {"1.25e2ms", 125ms},
        {"0.00001s", 10us},
        {"1e-5s", 10us},
        {"1.1s", 1100ms},
        {"0.1h", 6min},
        {"1.5min", 90s},
        {"00.5s", 500ms},
        {"0.3us", 0us},
        {"0e99s", 0s},
        {"2.000s", 2s},
        {"9e99s", Duration::max()},
        {"9223372036854775807s", Duration::max()},
        {"9223372036854.775807s", Duration::max()},
        {"123456789012345678901234567890s", Duration::max()}};
    for (const auto &[text, time] : times)
        cr_expect(parseDuration(text) == time, "%s", text);
    cr_assert(parseDuration("0.0000001s", Rounding::Up) == 1us);
    cr_assert(parseDuration("0.0000001s", Rounding::Down) == 0us);
    cr_assert(parseDuration("1.1s", Rounding::Up) == 1100ms);
    cr_assert(!parseDuration(std::string(1000, '9') + "s"));
    for (std::int64_t micros = 0; micros < 3'000'000; micros += 7919) {
        std::string digits = std::to_string(micros + 10'000'000);
        digits.insert(2, ".");
        for (const Rounding rounding : {Rounding::Down, Rounding::Up})
            cr_assert(parseDuration(digits + "s", rounding) == 10s + Duration{micros});
    }
}

// Guards against daemons that don't start, as the platform states bounds out of the range that was
// thought of, or as fractions.
Test(settings, everyBoundOfThePlatformStartsADaemon)
{
    const auto withBounds = [](const std::string &seconds) {
        const auto read = readAnySettings(
            R"({"forwarding": "direct", "name": "a", "domain": "b",
                "addresses": {"packets": "10.1.0.10:8172", "readiness": "10.1.0.10:8167"},
                "store": {"address": "10.200.1.7:8169"}, "killedAfter": ")"
            + seconds + R"(s", "flows": {"lifetime": ")" + seconds + R"(s"}})");
        const auto *settings = std::get_if<DirectDaemonSettings>(&read);
        cr_assert(settings, "%s", seconds.c_str());
        return *settings;
    };
    const DirectDaemonSettings fraction = withBounds("6.5");
    cr_assert(fraction.killedAfter == 6500ms && fraction.node.flows.flowLifetime == 6500ms);
    const DirectDaemonSettings odd = withBounds("1.0000001");
    cr_assert(odd.killedAfter == 1s && odd.node.flows.flowLifetime == 1s + 1us);
    const DirectDaemonSettings small = withBounds("0.00001");
    cr_assert(small.killedAfter == 10us && small.node.flows.flowLifetime == 1s);
    const DirectDaemonSettings large = withBounds("36000");
    cr_assert(large.killedAfter == 1h && large.node.flows.flowLifetime == 10h);
    const DirectDaemonSettings huge = withBounds("9223372036854775807");
    cr_assert(huge.killedAfter == 1h && huge.node.flows.flowLifetime == std::chrono::years{10});
}

// Guards against an own figure beyond 64 bits that is taken for another one.
Test(settings, figuresOutOfRangeAreFindings)
{
    const ScratchDirectory scratch;
    const auto secret = scratch.write("secret", Secret, OwnerOnly);
    for (const std::string time : {"99999999999999999999s", "1e30h", "0.0001ms"}) {
        const auto found
            = findingsOf(settingsText(secret, R"(, "control": {"pingPeriod": ")" + time + R"("})"));
        cr_assert(contains(found, "control.pingPeriod", "must lie between"), "%s", time.c_str());
    }
    for (const std::string number : {"18446744073709551616", "1.5", "-1", "1e3", "true"}) {
        const auto found
            = findingsOf(settingsText(secret, R"(, "log": {"linesPerSecond": )" + number + "}"));
        cr_assert(contains(found, "log.linesPerSecond", "expected"), "%s", number.c_str());
    }
}

Test(settings, timesAreReadWithTheirUnits)
{
    cr_assert(parseDuration("300ms") == 300ms);
    cr_assert(parseDuration("10min") == 10min);
    cr_assert(parseDuration("0s") == 0s);
    for (const char *wrong :
         {"",   "5",   "s",    "-1s",  "1 s",  "1.s",  ".5s",   "1.5",   "1..5s", "1.5.s", "1,5s",
          "1e", "1es", "1e+s", "0x1s", "infs", "nans", "trues", "1.5 s", "-0.5s", "1.5sec"})
        cr_expect(!parseDuration(wrong), "%s", wrong);
    cr_assert(parseDuration("9223372036854775807h") == Duration::max());
    cr_assert(toString(90s) == "90s");
    cr_assert(toString(120s) == "2min");
    cr_assert(toString(1500us) == "1500us");
}

Test(accessKeys, findTheirHolder)
{
    Config config;
    config.workspaces["alexandria"] = WorkspaceConfig{"alexandria", accessKeyHash("tenant key")};
    const std::vector<std::string> operators{accessKeyHash("operator key")};
    cr_assert(findCaller("tenant key", operators, config)->workspace == "alexandria");
    cr_assert(findCaller("operator key", operators, config)->workspace.empty());
    cr_assert(!findCaller("another key", operators, config));
    cr_assert(!findCaller("", operators, config));
    config.workspaces["broken"] = WorkspaceConfig{"broken", ""};
    cr_assert(!findCaller("", operators, config));
}

namespace {

[[nodiscard]] std::string directText(const std::string &more)
{
    return R"({"forwarding": "direct", "name": "d1", "domain": "a",
        "addresses": {"packets": "127.0.0.1:1", "readiness": "127.0.0.1:2"},
        "store": {"address": "127.0.0.1:3"},)"
           + more + "}";
}

} // namespace

// Experiments disable mechanisms by name. An unknown name must be reported: if it were ignored, the
// experiment would measure the system with all mechanisms enabled.
Test(settings, experimentsDisableMechanismsByName)
{
    const auto read = readAnySettings(directText(
        R"("overload": {"saturatedShare": 0.5, "mostWindow": 8},
           "experiments": {"without": ["holdRequests", "suspicion"]})"));
    const auto &settings = std::get<DirectDaemonSettings>(read);
    const DirectSettings &flows = settings.node.flows;
    cr_assert(!flows.overload.hold && flows.overload.newestFirst);
    cr_assert(flows.overload.saturatedShare == 0.5 && flows.overload.maxWindow == 8.0);
    cr_assert(!flows.mechanisms.has(Mechanism::Suspicion));
    cr_assert_eq(toString(flows.mechanisms), "suspicion holdRequests");

    const auto wrong = readAnySettings(directText(
        R"("overload": {"shrink": "half", "leastWindow": 9, "mostWindow": 2, "lateRoom": 2},
           "experiments": {"without": ["suspicion", "gravity"]})"));
    std::vector<std::string> places;
    for (const Finding &finding : std::get<Findings>(wrong))
        places.push_back(finding.place);
    const std::vector<std::string> expected{"overload.shrink", "overload.lateRoom",
                                            "overload.mostWindow", "experiments.without[1]"};
    cr_assert(places == expected, "%zu findings, first %s", places.size(), places.front().c_str());
}

// Reports at intervals that don't fit each other would end before the next ones come; without the
// addresses of peers there is nobody to report to.
Test(settings, usageReportsAreChecked)
{
    const auto read = readAnySettings(directText(
        R"("usage": {"enabled": false, "busyInterval": "500ms", "calmInterval": "5s",
                     "missedReports": 4})"));
    const UsageExchangeSettings &usage = std::get<DirectDaemonSettings>(read).node.usage;
    cr_assert(!usage.enabled && usage.busyInterval == 500ms && usage.calmInterval == 5s);
    cr_assert_eq(usage.missedReports, 4);

    const auto wrong = readAnySettings(
        directText(R"("usage": {"enabled": 1, "busyInterval": "3s", "missedReports": 0})"));
    std::vector<std::string> places;
    for (const Finding &finding : std::get<Findings>(wrong))
        places.push_back(finding.place);
    const std::vector<std::string> expected{"usage.enabled", "usage.missedReports",
                                            "usage.calmInterval"};
    cr_assert(places == expected, "%zu findings, first %s", places.size(), places.front().c_str());
}

Test(settings, placementIsCheckedAndEachPartCanBeTurnedOff)
{
    const auto read = readAnySettings(directText(
        R"("placement": {"spill": false, "reservations": false, "fullAt": 0.9},
           "experiments": {"without": ["spill"]})"));
    const PlacementSettings &off = std::get<DirectDaemonSettings>(read).node.flows.placement;
    cr_assert(!off.spill && !off.reserve && off.fullAt == 0.9);

    const auto wrong = readAnySettings(
        directText(R"("placement": {"spill": "no", "saturatedAt": 0.5, "relievedAt": 0.6})"));
    std::vector<std::string> places;
    for (const Finding &finding : std::get<Findings>(wrong))
        places.push_back(finding.place);
    const std::vector<std::string> expected{"placement.spill", "placement.relievedAt"};
    cr_assert(places == expected, "%zu findings, first %s", places.size(), places.front().c_str());
}

Test(settings, evidenceIsCheckedAndCanBeTurnedOff)
{
    const auto evidenceOf = [](const std::string &text) {
        return std::get<DirectDaemonSettings>(readAnySettings(directText(text))).node.evidence;
    };
    cr_assert_not(evidenceOf(R"("evidence": {"enabled": false, "reporters": 1})").enabled);
    cr_assert_not(evidenceOf(R"("experiments": {"without": ["sharedEvidence"]})").enabled);
    const auto wrong = readAnySettings(directText(R"("evidence": {"reporters": 3})"));
    cr_assert(std::get<Findings>(wrong).front().place == "evidence.reporters");
}

// On the platform all daemons report at the same port; where many share an IP address, each at its
// own.
Test(settings, usageAddressOfAPeer)
{
    DirectAddresses addresses;
    addresses.peers = {0x0A010001, 8166};
    addresses.usage = {0x0A010001, 7720};
    const Endpoint peer{0x0A010002, 8167};
    cr_assert(addresses.usageAddressOf(peer) == Endpoint({0x0A010002, 7720}));
    cr_assert(addresses.usageAddressOf({}).isNull());
    addresses.usage.port = addresses.peers.port;
    cr_assert(addresses.usageAddressOf(peer) == peer);
}
