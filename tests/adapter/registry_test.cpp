#include "platform/registry_form.h"

#include "core/directory/keys.h"

#include <criterion/criterion.h>

using namespace baobabtrail;
using namespace baobabtrail::platform;

namespace {

const std::string Config = R"({"version":7,"routes":[
  {"name":"a","host":"198.18.0.1","path_prefix":"/8443/","kind":"idempotent","timeout_ms":2000,
   "target_latency_ms":120,"priority":2,"backends":[{"service":"x","weight":90},
   {"service":"y","weight":10}],"max_attempts":2},
  {"name":"b","host":"198.18.0.2","path_prefix":"/80/","service":"y"}],
 "services":[{"name":"x","health_path":"/health"},{"name":"y"}],
 "limits":{"idle_timeout_ms":15000}})";

const std::string Target = R"({"service":"x","address":"10.128.0.9:8080","zone":"alx-raml",
 "version":"v1","slots":2,"state":"ready","warmup_left_ms":1500,"seq":4})";

[[nodiscard]] DirectoryFinding findingOf(std::string text, const std::string &from,
                                         const std::string &to)
{
    const auto at = text.find(from);
    cr_assert_neq(at, std::string::npos);
    text.replace(at, from.size(), to);
    const auto result = readRoutes({"routes/main", text, ObjectVersion{1}});
    cr_assert(std::holds_alternative<DirectoryFinding>(result), "%s", text.c_str());
    return std::get<DirectoryFinding>(result);
}

} // namespace

Test(registry, routesAreRead)
{
    const auto result = readRoutes({"routes/main", Config, ObjectVersion{1}});
    const RouteTable &table = std::get<RouteTable>(result);
    cr_assert(table.version == 7 && table.routes.size() == 2 && table.idleTimeout == 15s);
    const Route *split = table.find(*parseEndpoint("198.18.0.1:8443"));
    cr_assert(split && split->shares.size() == 2 && split->shares.front().weight == 90);
    const Route *plain = table.find(*parseEndpoint("198.18.0.2:80"));
    cr_assert(plain && plain->shares.size() == 1);
    cr_assert_eq(table.serviceNames.at(plain->shares.front().service), "y");
}

// The store holds a configuration with a mistake. It must be rejected as a whole, so that the one
// in force stays, and the finding has to name the place of the mistake for the log.
Test(registry, mistakesInRoutesAreNamedByPlace)
{
    cr_assert_eq(findingOf(Config, R"("service":"y","weight")", R"("service":"z","weight")").place,
                 "routes/main: routes[0].backends[1].service");
    cr_assert_eq(findingOf(Config, R"("service":"y"})", R"("service":"z"})").place,
                 "routes/main: routes[1].service");
    cr_assert_eq(findingOf(Config, "198.18.0.2", "198.18.0").place, "routes/main: routes[1].host");
    cr_assert_eq(findingOf(Config, "/80/", "/80000/").place, "routes/main: routes[1].path_prefix");
    cr_assert_eq(findingOf(Config, "/80/", "//").place, "routes/main: routes[1].path_prefix");
    cr_assert_eq(findingOf(Config, "\"version\":7", "\"version\":-7").place,
                 "routes/main: version");
    cr_assert_eq(findingOf(Config, "\"name\":\"b\",", "").place, "routes/main: routes[1].name");
    cr_assert_eq(findingOf(Config, "15000}}", "15000").place, "routes/main");
}

Test(registry, targetsAreRead)
{
    const auto result = readTarget({"targets/i-7f3a91c2", Target, ObjectVersion{1}});
    const RegisteredTarget &target = std::get<RegisteredTarget>(result);
    cr_assert(target.id == TargetId{0x7f3a91c2} && target.name == "i-7f3a91c2");
    cr_assert(target.domain == "alx-raml" && target.slots == 2 && !target.draining);
    cr_assert(target.warmUpLeft == 1500ms);
    cr_assert_eq(toString(target.address), "10.128.0.9:8080");
    cr_assert(targetIdOf("targets/i-7f3a91c2") == target.id);
    cr_assert(!targetIdOf("targets/xyz"));
}

Test(registry, aTargetWithoutAddressIsRefused)
{
    std::string text = Target;
    text.replace(text.find("\"address\":\"10.128.0.9:8080\","), 28, "");
    const auto result = readTarget({"targets/i-1", text, ObjectVersion{1}});
    cr_assert_eq(std::get<DirectoryFinding>(result).place, "targets/i-1: address");
}

Test(registry, mutatedObjectsDoNoHarm)
{
    Random random{3};
    for (int round = 0; round < 5000; ++round) {
        std::string config = Config;
        std::string target = Target;
        for (int change = 0; change < 3; ++change) {
            config[random() % config.size()] = static_cast<char>(random());
            target[random() % target.size()] = static_cast<char>(random());
        }
        (void)readRoutes({"routes/main", config, ObjectVersion{1}});
        (void)readTarget({"targets/i-1", target.substr(0, random() % target.size()), {}});
    }
}

// The request policy of a route decides which requests wait and which go first past saturation.
Test(registry, routePoliciesAreRead)
{
    const auto result = readRoutes({"routes/main", Config, ObjectVersion{1}});
    const RouteTable &table = std::get<RouteTable>(result);
    const RequestPolicy &promise = table.find(*parseEndpoint("198.18.0.1:8443"))->policy;
    cr_assert(promise.kind == RequestKind::Idempotent && promise.priority == 2);
    cr_assert(promise.latency == 120ms && promise.timeout == 2s);
    cr_assert(table.find(*parseEndpoint("198.18.0.2:80"))->policy == RequestPolicy{});

    std::string download = Config;
    download.replace(download.find("idempotent"), 10, "download");
    const auto other = readRoutes({"routes/main", download, ObjectVersion{1}});
    const Route *route = std::get<RouteTable>(other).find(*parseEndpoint("198.18.0.1:8443"));
    cr_assert(route->policy.kind == RequestKind::Download);

    cr_assert_eq(findingOf(Config, ":2000", ":\"2s\"").place, "routes/main: routes[0].timeout_ms");
    cr_assert_eq(findingOf(Config, ":120", ":-1").place,
                 "routes/main: routes[0].target_latency_ms");
    cr_assert_eq(findingOf(Config, ":120", ":4000000000").place,
                 "routes/main: routes[0].target_latency_ms");
    cr_assert_eq(findingOf(Config, "\"priority\":2", "\"priority\":0.5").place,
                 "routes/main: routes[0].priority");
    cr_assert_eq(findingOf(Config, "\"idempotent\"", "3").place, "routes/main: routes[0].kind");
}

// A target restarts under the same id. Only its start time distinguishes the two processes.
Test(registry, startTimeOfTargetIsRead)
{
    std::string text = Target;
    text.insert(1, R"("born":1780000000123,)");
    const auto result = readTarget({"targets/i-1", text, ObjectVersion{1}});
    const auto started = std::get<RegisteredTarget>(result).startedAt;
    cr_assert(started && started->time_since_epoch() == std::chrono::milliseconds{1780000000123});
    text.replace(text.find("1780000000123"), 13, "\"yesterday\"");
    const auto wrong = readTarget({"targets/i-1", text, ObjectVersion{1}});
    cr_assert_eq(std::get<DirectoryFinding>(wrong).place, "targets/i-1: born");
}

// Another writer overwrites a target's registration. Whichever field is missing or has another
// type, the target must not be used, and the finding has to name the field.
Test(registry, incompleteRegistrationIsRejected)
{
    const std::pair<std::string, std::string> malformed[]{
        {R"("service":"x",)", ""},
        {R"("service":"x")", R"("service":7)"},
        {R"("zone":"alx-raml",)", ""},
        {R"("slots":2)", R"("slots":null)"},
        {R"("slots":2)", R"("slots":"2")"},
        {R"("state":"ready")", R"("state":"resting")"},
        {R"("warmup_left_ms":1500,)", ""},
        {R"("warmup_left_ms":1500)", R"("warmup_left_ms":null)"},
        {R"("warmup_left_ms":1500)", R"("warmup_left_ms":-0.5)"},
        {R"("warmup_left_ms":1500)", R"("warmup_left_ms":4294967296)"},
        {R"("slots":2)", R"("slots":4294967296)"},
        {R"("slots":2)", R"("slots":1.5)"},
        {R"("seq":4)", R"("seq":4.5)"},
        {R"("seq":4)", R"("seq":18446744073709551616)"},
        {R"("version":"v1",)", ""},
        {R"(,"seq":4)", ""},
        {R"(,"seq":4)", R"(,"seq":[4])"}};
    for (const auto &[from, to] : malformed) {
        std::string text = Target;
        text.replace(text.find(from), from.size(), to);
        const auto result = readTarget({"targets/i-1", text, ObjectVersion{1}});
        cr_assert(std::holds_alternative<DirectoryFinding>(result), "%s", text.c_str());
        const std::string field = from.substr(from.find('"') + 1);
        cr_assert_eq(std::get<DirectoryFinding>(result).place,
                     "targets/i-1: " + field.substr(0, field.find('"')));
    }
    for (const std::string bytes : {"null", "[]", "\"\xff\xfe\"", "{\"service\":\"\xc0\"}"}) {
        const auto result = readTarget({"targets/i-1", bytes, ObjectVersion{1}});
        cr_assert(std::holds_alternative<DirectoryFinding>(result), "%s", bytes.c_str());
    }
}

// Guards against routes of another writer that replace the operator's, as they are of the same
// kind.
Test(registry, onlyTheOperatorsObjectHoldsRoutes)
{
    for (const std::string key : {"routes/main.tmp", "routes/Main", "routes/other", "routes/"})
        cr_assert(
            std::holds_alternative<DirectoryFinding>(readRoutes({key, Config, ObjectVersion{1}})),
            "%s", key.c_str());
}

// Guards against metrics and tables that no reader accepts, as a target's name or its failure
// domain is no text.
Test(registry, targetsWithoutPlainTextsAreRefused)
{
    for (const std::string name : {"i-1\xed\xa0\xbd", "i-1\xff", "i-1\n", "i 1"}) {
        const auto result = readTarget({"targets/" + name, Target, ObjectVersion{1}});
        cr_assert(std::holds_alternative<DirectoryFinding>(result), "%s", name.c_str());
    }
    std::string text = Target;
    text.replace(text.find("alx-raml"), 8, "\xff\xc0");
    cr_assert(std::holds_alternative<DirectoryFinding>(
        readTarget({"targets/i-1", text, ObjectVersion{1}})));
}

// Guards against a configuration or a target that is refused, as a figure of it is a fraction.
Test(registry, figuresMayBeFractions)
{
    std::string config = Config;
    for (const auto &[from, to] : {std::pair<std::string, std::string>{":2000", ":1999.5"},
                                   {":120", ":0.25"},
                                   {"15000}}", "1.5e4}}"},
                                   {"\"weight\":90", "\"weight\":0.9"},
                                   {"\"weight\":10", "\"weight\":0.1"}})
        config.replace(config.find(from), from.size(), to);
    const auto result = readRoutes({"routes/main", config, ObjectVersion{1}});
    cr_assert(std::holds_alternative<RouteTable>(result));
    const RouteTable &table = std::get<RouteTable>(result);
    const Route *route = table.find(*parseEndpoint("198.18.0.1:8443"));
    cr_assert(route->policy.timeout == 1999500us && route->policy.latency == 250us);
    cr_assert(table.idleTimeout == 15s);
    cr_assert(route->shares.front().weight == 900 && route->shares.back().weight == 100);

    std::string target = Target;
    target.replace(target.find("1500"), 4, "0.0001");
    const auto read = readTarget({"targets/i-1", target, ObjectVersion{1}});
    cr_assert(std::get<RegisteredTarget>(read).warmUpLeft == 1us);
}
