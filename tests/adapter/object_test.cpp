#include "platform/object_form.h"

#include "support/odd_entries.h"

#include <criterion/criterion.h>

using namespace baobabtrail;
using namespace baobabtrail::platform;
using namespace baobabtrail::test;

namespace {

[[nodiscard]] PlatformResult listOf(const std::string &items)
{
    HttpClientResponse response{boost::beast::http::status::ok, 11};
    response.body() = R"({"at":9,"has_more":false,"items":[)" + items + "]}";
    return toResult(ListObjects{"targets/", {}, 100}, response);
}

const std::string Good
    = R"({"meta":{"name":"i-1","revision":5},"spec":{"service":"x"},"status":null})";

} // namespace

// Another writer stores an entry that is not valid UTF-8, one without content, and one that is
// deeply nested. If such an entry failed the whole list, no daemon could start or learn of further
// changes for as long as the entry exists.
Test(objects, malformedEntryDoesNotFailItsList)
{
    const std::string deep = std::string(60, '[') + std::string(60, ']');
    for (const std::string &malformed :
         {std::string{R"({"meta":{"name":"i-2","revision":6},"spec":{"service":")"} + "\xff\xc0"
              + R"("}})",
          std::string{R"({"meta":{"name":"i-2","revision":6}})"},
          R"({"meta":{"name":"i-2","revision":6},"spec":)" + deep + "}"}) {
        const PlatformResult result = listOf(malformed + "," + Good);
        const auto *list = std::get_if<ObjectList>(&result);
        cr_assert(list && list->objects.size() == 2, "%s", malformed.c_str());
        cr_assert_eq(list->objects.back().value, R"({"service":"x"})");
    }
}

// A stale list costs the store a fraction of a consistent one. The query has to ask for it
// explicitly, and only where the caller allows it.
Test(objects, staleListIsRequestedAsSerializable)
{
    const Endpoint store{0x0A0B0001U, 8169};
    ListObjects list{"targets/", "targets/i-1", 100};
    const std::string dear{toHttp(list, store).target()};
    cr_assert(dear.ends_with("?after=i-1"), "%s", dear.c_str());
    list.allowStale = true;
    const std::string cheap{toHttp(list, store).target()};
    cr_assert(cheap.ends_with("?after=i-1&serializable=1"), "%s", cheap.c_str());
    list.after.clear();
    const std::string first{toHttp(list, store).target()};
    cr_assert(first.ends_with("?serializable=1"), "%s", first.c_str());
}

// Guards against a list or a watch that can't be read for as long as another writer's entry is
// there.
Test(objects, anOddEntryHidesNoOther)
{
    const std::string head = R"({"meta":{"name":"i-2","revision":6},"spec":)";
    for (const std::string &spec :
         {std::string{R"({"version":"cut \ud83d"})"}, nested(600), nested(200000),
          std::string{"1e99999999999"}, std::string{R"({"seq":-1e99999999999})"}}) {
        const PlatformResult result = listOf(head + spec + "}," + Good);
        const auto *list = std::get_if<ObjectList>(&result);
        cr_assert(list && list->objects.size() == 2, "%s", spec.substr(0, 60).c_str());
        cr_assert_eq(list->objects.front().key, "targets/i-2");
        cr_assert_eq(list->objects.back().value, R"({"service":"x"})");
    }
}

// Guards against the loss of a whole answer to a name that no parser accepts, and against two such
// names that become one key.
Test(objects, namesWithHalfCharactersStayApart)
{
    const auto named = [](const std::string &name) {
        return R"({"meta":{"name":")" + name + R"(","revision":6},"spec":{}})";
    };
    const PlatformResult result = listOf(named("\\ud83d") + ',' + named("\\ud83e") + ','
                                         + named("\\ud83d\\ude00") + ',' + named("a\\/\\u0062"));
    const auto *list = std::get_if<ObjectList>(&result);
    cr_assert(list && list->objects.size() == 4);
    cr_assert_eq(list->objects.at(0).key, "targets/\xed\xa0\xbd");
    cr_assert_eq(list->objects.at(1).key, "targets/\xed\xa0\xbe");
    cr_assert_eq(list->objects.at(2).key, "targets/\xf0\x9f\x98\x80");
    cr_assert_eq(list->objects.at(3).key, "targets/a/b");
}

// Guards against a removal that is not understood, as the entry that was removed can't be read.
Test(objects, theRemovalOfAnOddEntryIsRead)
{
    HttpClientResponse response{boost::beast::http::status::ok, 11};
    response.body() = R"({"events":[{"object":{"meta":{"name":"i-2","revision":6},"spec":)"
                      + nested(600) + R"(},"deleted":true},{"deleted":false,"object":)" + Good
                      + R"(}],"at":9})";
    const PlatformResult result = toResult(WatchObjects{"targets/", ObjectVersion{1}}, response);
    const auto *list = std::get_if<ObjectList>(&result);
    cr_assert(list && list->objects.size() == 1 && list->removed.size() == 1);
    cr_assert_eq(list->removed.front(), "targets/i-2");
}

// Guards against objects of this product that are all unreadable as one of them is another
// writer's.
Test(objects, anObjectThatIsNotOursHidesNoneOfOurs)
{
    HttpClientResponse response{boost::beast::http::status::ok, 11};
    response.body() = R"({"at":9,"items":[{"meta":{"name":"1","revision":5},"spec":{"data":"YQ=="}},
        {"meta":{"name":"2","revision":6},"spec":{"data":7}},
        {"meta":{"name":"3","revision":7},"spec":{"data":"no base64"}},
        {"meta":{"name":"4","revision":8},"spec":"\ud83d"}]})";
    const PlatformResult result = toResult(ListObjects{"config/log/", {}, 100}, response);
    const auto *list = std::get_if<ObjectList>(&result);
    cr_assert(list && list->objects.size() == 4);
    cr_assert_eq(list->objects.front().value, "a");
    for (std::size_t index = 1; index < 4; ++index)
        cr_assert(list->objects.at(index).value.empty());
}

// Guards against VMs that are all unknown, or taken for gone, as the entry of one can't be read.
Test(objects, anOddVmHidesNoOther)
{
    HttpClientResponse response{boost::beast::http::status::ok, 11};
    response.body() = R"({"at":9,"items":[
        {"spec":{"daemon":7,"domain":"d","address":"10.0.0.1:80","records":"10.0.0.1:81",
                 "leaving":false}},
        {"spec":{"daemon":8,"domain":"d","address":"10.0.0.1:65536","records":"10.0.0.1:81",
                 "leaving":false}},
        {"spec":{"daemon":9,"domain":"\ud83d","address":7}}, {"spec":{"daemon":1.5}}, {}, 7]})";
    const PlatformResult result = toResult(ListVms{}, response);
    const auto *list = std::get_if<VmList>(&result);
    cr_assert(list && list->vms.size() == 1);
    cr_assert(list->vms.front().daemon == DaemonId{7});
    cr_assert((list->unreadable == std::vector{DaemonId{8}, DaemonId{9}}));
}

// Guards against daemons that run out of memory over entries of a megabyte each.
Test(objects, contentFarAboveAnEntrysIsNotKept)
{
    const std::string large = '"' + std::string(1 << 20, 'x') + '"';
    const PlatformResult result
        = listOf(R"({"meta":{"name":"i-2","revision":6},"spec":)" + large + "}," + Good);
    const auto *list = std::get_if<ObjectList>(&result);
    cr_assert(list && list->objects.size() == 2);
    cr_assert(list->objects.front().value.empty() && !list->objects.back().value.empty());
}

// Guards against an answer that is cut or is no list at all and counts as one without entries.
Test(objects, anAnswerWithoutItsStructureIsAFailure)
{
    for (const std::string body :
         {"", "{", "[]", "null", R"({"items":[]})", R"({"at":9})", R"({"at":"9","items":[]})",
          R"({"at":9,"items":{}})", R"({"at":9,"items":[{"meta")", R"({"at":9.5,"items":[]})",
          R"({"at":9,"items":[],"has_more":"no"})", R"({"at":9 "items":[]})"}) {
        HttpClientResponse response{boost::beast::http::status::ok, 11};
        response.body() = body;
        const PlatformResult result = toResult(ListObjects{"targets/", {}, 100}, response);
        cr_assert(std::holds_alternative<PlatformFailure>(result), "%s", body.c_str());
    }
}
