#include "support/process.h"

#include <criterion/criterion.h>

using namespace baobabtrail::test;

// Guards against --help that starts with gflags' own flags and shows source paths of the build.
Test(help, showsTheProgramsOwnFlagsOnly)
{
    for (const std::string program : {"baobabtraild", "baobabctl"}) {
        Process help{program, {"--help"}, Process::Output::Unread};
        std::string text;
        constexpr int maxLines = 60; // Lines after the end of the output are empty.
        for (int line = 0; line < maxLines; ++line)
            text += help.readLine() + '\n';
        cr_assert_eq(help.waitForEnd(), 0);
        cr_assert(text.find(program) == 0, "%s", text.c_str());
        cr_assert(text.find("Flags:") != std::string::npos, "%s", text.c_str());
        cr_assert(text.find("gflags") == std::string::npos, "%s", text.c_str());
        cr_assert(text.find(".cpp") == std::string::npos, "%s", text.c_str());
    }
}
