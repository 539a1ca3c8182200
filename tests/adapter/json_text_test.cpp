#include "core/json_text.h"

#include <criterion/criterion.h>

using namespace baobabtrail;

namespace {

template <typename Read>
[[nodiscard]] bool fails(Read read)
{
    try {
        (void)read();
        return false;
    } catch (const JsonTextError &) {
        return true;
    }
}

} // namespace

Test(jsonText, membersAndElementsKeepTheirText)
{
    const JsonText text{
        " {\"a\" : [1, {\"b\":\"]}\\\"\"} , \"x\\\\\"],\"\\u0062\":{ } , \"a2\":-1e9}\n"};
    const JsonObjectText object = text.object();
    const auto elements = object.at("a").elements();
    cr_assert_eq(elements.size(), 3);
    cr_assert_eq(elements.at(0).text(), "1");
    cr_assert_eq(elements.at(1).text(), R"({"b":"]}\""})");
    cr_assert_eq(elements.at(2).string(), "x\\");
    cr_assert_eq(object.at("b").text(), "{ }");
    cr_assert_eq(object.at("a2").text(), "-1e9");
    cr_assert_null(object.find("c"));
    cr_assert(JsonText{"[ ]"}.elements().empty());
    cr_assert_eq(JsonText{R"({"a":1,"a":2})"}.object().at("a").wholeNumber(), 2);
}

Test(jsonText, scalarsAreReadOrFail)
{
    cr_assert_eq(JsonText{"18446744073709551615"}.wholeNumber(), UINT64_MAX);
    cr_assert_eq(JsonText{"5.0"}.wholeNumber(), 5);
    cr_assert_eq(JsonText{"5e0"}.wholeNumber(), 5);
    for (const char *text : {"", "-1", "1.5", "18446744073709551616", "1e99999999999", "\"1\"",
                             "1 2", "null", "[1]", "0x1", "+1"})
        cr_expect(fails([&] { return JsonText{text}.wholeNumber(); }), "%s", text);
    cr_assert(JsonText{" true"}.boolean() && !JsonText{"false "}.boolean());
    cr_assert(fails([] { return JsonText{"1"}.boolean(); }));
    cr_assert_eq(JsonText{R"("\u00e4\u20ac\ud83d\ude00\/\b\f\n\r\t")"}.string(),
                 "\u00e4\u20ac\U0001F600/\b\f\n\r\t");
    cr_assert_eq(JsonText{R"("\ud83d\u0041")"}.string(), "\xed\xa0\xbd"
                                                         "A");
    for (const char *text : {"", "x", "\"", "\"\\u12\"", "\"\\uzzzz\"", "\"\\x\"", "1"})
        cr_expect(fails([&] { return JsonText{text}.string(); }), "%s", text);
}

// Guards against a text that is cut, at any byte, and is taken for a whole one, or read beyond its
// end.
Test(jsonText, noCutTextHasAStructure)
{
    const std::string whole = R"({"a":[1,{"b":"x\u0041"},true],"c":{"d":[]}})";
    for (std::size_t size = 0; size < whole.size(); ++size) {
        const std::string cut = whole.substr(0, size);
        cr_assert(fails([&] { return JsonText{cut}.object(); }), "%s", cut.c_str());
    }
    for (const char *text :
         {"{\"a\"}", "{\"a\":}", "{\"a\":1,}", "{,}", "{1:}", "[1}", "{}{}", "{\"a\":1} x"})
        cr_expect(fails([&] { return JsonText{text}.object(); }), "%s", text);
    for (const char *text : {"[1", "[1,]", "[,1]", "[1 2]", "{}", "[]]", "[1] 2"})
        cr_expect(fails([&] { return JsonText{text}.elements(); }), "%s", text);
}
