#include "daemon/log/line_output.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <thread>
#include <utility>

#include <fcntl.h>
#include <unistd.h>

using namespace baobabtrail::daemon;
using namespace std::chrono_literals;

namespace {

/// \brief Owns both ends of a pipe.
struct Pipe
{
    Pipe() { cr_assert_eq(pipe2(ends, O_CLOEXEC), 0); }
    ~Pipe()
    {
        closeWriter();
        close(ends[0]);
    }
    Pipe(const Pipe &) = delete;
    Pipe &operator=(const Pipe &) = delete;

    void closeWriter()
    {
        if (ends[1] >= 0)
            close(std::exchange(ends[1], -1));
    }

    /// \return All data until the write end is closed.
    [[nodiscard]] std::string readAll() const
    {
        std::string all;
        char part[4096];
        for (ssize_t got = 1; got > 0;) {
            got = read(ends[0], part, sizeof part);
            all.append(part, static_cast<std::size_t>(std::max<ssize_t>(got, 0)));
        }
        return all;
    }

    int ends[2] = {-1, -1};
};

} // namespace

// Guards against lost or cut text when a line exceeds the capacity of the pipe.
Test(lineOutput, aLineLongerThanThePipeArrivesWhole, .timeout = 30)
{
    Pipe pipe;
    const std::string line(300'000, 'x');
    std::jthread writer{[&] {
        LineOutput output{pipe.ends[1]};
        output.consume({}, line);
        pipe.closeWriter();
    }};
    cr_assert_eq(pipe.readAll(), line + '\n');
}

// Guards against a shutdown that waits for a stopped reader once per line, instead of once for all
// lines.
Test(lineOutput, allLinesAtShutdownShareOneTimeout, .timeout = 30)
{
    Pipe pipe;
    LineOutput output{pipe.ends[1]};
    const std::string line(1000, 'x');
    const auto began = std::chrono::steady_clock::now();
    output.startShutdown();
    for (int count = 0; count < 1000; ++count)
        output.consume({}, line);
    cr_assert_lt(std::chrono::steady_clock::now() - began, 2s);
    pipe.closeWriter();
    const std::string read = pipe.readAll();
    cr_assert_gt(read.size(), 0);
    cr_assert_eq(read.size() % (line.size() + 1), 0, "a line was cut");
}
