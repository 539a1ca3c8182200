#include "support/process.h"

#include <criterion/criterion.h>

using namespace baobabtrail::test;

// Guards against a help that begins with flags of a library and names a folder of its build.
Test(help, showsTheProgramsOwnFlagsOnly)
{
    for (const std::string program : {"baobabtraild", "baobabctl"}) {
        Process help{program, {"--help"}, Process::Output::Unread};
        std::string text;
        constexpr int maxLines = 60; // Behind the end of the output they are empty.
        for (int line = 0; line < maxLines; ++line)
            text += help.readLine() + '\n';
        cr_assert_eq(help.waitForEnd(), 0);
        cr_assert(text.find(program) == 0, "%s", text.c_str());
        cr_assert(text.find("Flags:") != std::string::npos, "%s", text.c_str());
        cr_assert(text.find("gflags") == std::string::npos, "%s", text.c_str());
        cr_assert(text.find(".cpp") == std::string::npos, "%s", text.c_str());
    }
}
