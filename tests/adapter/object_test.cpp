#include "platform/object_form.h"

#include <criterion/criterion.h>

using namespace baobabtrail;
using namespace baobabtrail::platform;

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
