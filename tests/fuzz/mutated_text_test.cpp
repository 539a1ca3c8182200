#include "daemon/settings/settings_reader.h"
#include "language/parse.h"
#include "support/mutate.h"

#include <array>
#include <fstream>
#include <sstream>

#include <criterion/criterion.h>

using namespace baobabtrail;
using namespace baobabtrail::test;

namespace {

constexpr std::array Statements{
    "declare tenant alexandria key-hash "
    "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef",
    "declare service alexandria/lending queue 8 share 100 retries 10",
    "add target alexandria/lending/t1 domain alx-raml flows 10.0.0.1:80 requests 10.0.0.1:81",
    "drain target a/b/c; undrain target a/b/c; retire target a/b/c; cut target a/b/c",
    "move target a/b/c to a/d; rotate keys to 3; set limits a/b share 7; set weight a/b/c 9",
    "show targets where service = a/b and state != active",
    "wait for change 'x y' timeout 30s",
    "explain request 00000000000000010000000000000002 0aff",
};

[[nodiscard]] std::string example(const char *name)
{
    std::ifstream file(std::string{BAOBABTRAIL_SOURCE_DIR} + "/examples/" + name);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

// Any holder of a key can send any statement. The parser must accept it or reject it with a column
// inside the text; a column elsewhere would point the operator to the wrong word.
Test(mutated, statementsAreUnderstoodOrRefusedWithAPlace)
{
    constexpr int Mutations = 40000;
    Random random{20261202};
    int understood = 0;
    for (int i = 0; i < Mutations; ++i) {
        std::string text = Statements[static_cast<std::size_t>(i) % Statements.size()];
        mutate(text, random);
        const auto parsed = language::parse(text);
        const auto *error = std::get_if<language::SyntaxError>(&parsed);
        understood += error ? 0 : 1;
        if (error)
            cr_assert(error->column >= 1 && error->column <= text.size() + 1, "%s", text.c_str());
    }
    cr_assert(understood > 0 && understood < Mutations);
}

Test(mutated, settingsAreTakenOrRefusedWithFindings)
{
    constexpr int Mutations = 4000;
    Random random{20261203};
    const std::string original = example("settings-alexandria.json");
    cr_assert(!original.empty());
    for (int i = 0; i < Mutations; ++i) {
        std::string text = original;
        mutate(text, random);
        const auto read = daemon::readSettings(text);
        if (const auto *findings = std::get_if<daemon::Findings>(&read))
            cr_assert(!findings->empty());
    }
}
