// Entries of other writers, and all that reads them: lists, watches and single reads of the store,
// answers of other daemons, and the decoders of each kind of object.

#include "core/directory/value_patch.h"
#include "platform/object_form.h"
#include "platform/registry_form.h"
#include "support/odd_entries.h"
#include "wire/view_form.h"

#include <cstdlib>

#include <criterion/criterion.h>

using namespace baobabtrail;
using namespace baobabtrail::platform;
using namespace baobabtrail::test;

namespace {

const std::string Usual = R"({"service":"x","address":"10.128.0.9:8080","zone":"alx-raml",
 "version":"v1","slots":2,"state":"ready","warmup_left_ms":0,"seq":4})";

[[nodiscard]] PlatformResult answerTo(const PlatformRequest &request, const std::string &body)
{
    HttpClientResponse response{boost::beast::http::status::ok, 11};
    response.body() = body;
    return toResult(request, response);
}

[[nodiscard]] std::string item(const std::string &name, const std::string &spec)
{
    return R"({"meta":{"name":")" + name + R"(","revision":6,"created":2},"spec":)" + spec
           + R"(,"status":null})";
}

[[nodiscard]] std::string event(const std::string &name, const std::string &spec, bool deleted)
{
    return R"({"deleted":)" + std::string{deleted ? "true" : "false"} + R"(,"object":)"
           + item(name, spec) + '}';
}

[[nodiscard]] std::vector<StoredObject> listed(const std::string &prefix, const std::string &spec)
{
    const auto result = answerTo(ListObjects{prefix, {}, 100},
                                 R"({"items":[)" + item("i-1", Usual) + ',' + item("i-2", spec)
                                     + ',' + item("i-3", Usual) + R"(],"has_more":false,"at":9})");
    const auto *list = std::get_if<ObjectList>(&result);
    cr_assert(list && list->objects.size() == 3, "%s", spec.substr(0, 200).c_str());
    return list->objects;
}

[[nodiscard]] ObjectList watched(const std::string &prefix, const std::string &spec)
{
    const auto result = answerTo(WatchObjects{prefix, ObjectVersion{1}, 1s},
                                 R"({"events":[)" + event("i-1", Usual, false) + ','
                                     + event("i-2", spec, false) + ',' + event("i-3", spec, true)
                                     + ',' + event("i-4", Usual, true) + R"(],"at":9})");
    const auto *list = std::get_if<ObjectList>(&result);
    cr_assert(list, "%s", spec.substr(0, 200).c_str());
    return *list;
}

[[nodiscard]] StoredObject readAlone(const std::string &prefix, const std::string &spec)
{
    const auto result = answerTo(ReadObject{prefix + "i-2"}, item("i-2", spec));
    const auto *object = std::get_if<StoredObject>(&result);
    cr_assert(object, "%s", spec.substr(0, 200).c_str());
    return *object;
}

/// \return The objects as another daemon reads them in an answer of this one.
[[nodiscard]] std::vector<StoredObject> passedOn(const std::vector<StoredObject> &objects)
{
    PeerAnswer answer;
    answer.collections.resize(1);
    answer.collections.front().delta.change.version = ObjectVersion{9};
    answer.collections.front().delta.change.written = objects;
    const auto plain = wire::parseAnswer(wire::toJson(answer));
    cr_assert(plain.has_value());
    if (const auto packed = wire::pack(answer)) {
        const auto unpacked = wire::parsePackedAnswer(*packed);
        cr_assert(unpacked.has_value());
        cr_assert(unpacked->collections.front().delta.change.written.back().value
                  == objects.back().value);
    }
    return plain->collections.front().delta.change.written;
}

[[nodiscard]] std::uint64_t seeds()
{
    const char *factor = std::getenv("BAOBABTRAIL_SEEDS");
    return 3000 * (factor ? std::strtoull(factor, nullptr, 10) : 1);
}

} // namespace

// Guards against an entry that ends a process, hides the others, or is read in one way and refused
// in another: a daemon would then hold another view than the one that it has its copy from.
Test(oddEntries, eachIsReadAloneAndAlikeInEveryWay, .timeout = 120)
{
    std::size_t usable = 0;
    for (std::uint64_t seed = 1; seed <= seeds(); ++seed) {
        Random random{seed};
        const std::string spec = OddEntries{random}.entry();
        const StoredObject odd = readAlone("targets/", spec);
        const auto list = listed("targets/", spec);
        const ObjectList watch = watched("targets/", spec);
        cr_assert_eq(watch.objects.size(), 2, "seed %lu", seed);
        cr_assert_eq(watch.removed.size(), 2, "seed %lu", seed);
        const auto passed = passedOn(list);
        cr_assert_eq(passed.size(), 3, "seed %lu", seed);
        const auto alone = readTarget(odd);
        usable += std::holds_alternative<RegisteredTarget>(alone);
        for (const StoredObject &each : {list.at(1), watch.objects.at(1), passed.at(1)}) {
            cr_assert_eq(each.key, "targets/i-2", "seed %lu", seed);
            cr_assert_eq(each.value, odd.value, "seed %lu", seed);
            cr_assert(readTarget(each).index() == alone.index(), "seed %lu", seed);
        }
        for (const StoredObject &each :
             {list.front(), list.back(), watch.objects.front(), passed.front(), passed.back()})
            cr_assert(std::holds_alternative<RegisteredTarget>(readTarget(each)), "seed %lu", seed);
        for (const std::string prefix : {"routes/", "evacuations/", "config/log/"}) {
            (void)readRoutes({"routes/main", listed(prefix, spec).at(1).value, ObjectVersion{6}});
            (void)watched(prefix, spec);
            (void)readAlone(prefix, spec);
        }
        cr_assert(applyPatch(Usual, makePatch(Usual, odd.value)) == odd.value, "seed %lu", seed);
    }
    cr_assert(usable > seeds() / 50 && usable < seeds() / 2, "%zu", usable);
}
