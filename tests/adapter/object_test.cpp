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

// Another writer leaves an entry whose bytes are no UTF-8, one without content, and one that is
// nested deeply. Taken for the failure of the whole list, each would keep every daemon from
// starting, and from hearing of any further change, for as long as the entry stays.
Test(objects, oneSpoiltEntryDoesNotSpoilItsList)
{
    const std::string deep = std::string(60, '[') + std::string(60, ']');
    for (const std::string &spoilt :
         {std::string{R"({"meta":{"name":"i-2","revision":6},"spec":{"service":")"} + "\xff\xc0"
              + R"("}})",
          std::string{R"({"meta":{"name":"i-2","revision":6}})"},
          R"({"meta":{"name":"i-2","revision":6},"spec":)" + deep + "}"}) {
        const PlatformResult result = listOf(spoilt + "," + Good);
        const auto *list = std::get_if<ObjectList>(&result);
        cr_assert(list && list->objects.size() == 2, "%s", spoilt.c_str());
        cr_assert_eq(list->objects.back().value, R"({"service":"x"})");
    }
}
