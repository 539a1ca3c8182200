#include "daemon/log/line_output.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <climits>
#include <string_view>

namespace baobabtrail::daemon {

namespace {

using namespace std::chrono_literals;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// A reader that is only busy drains a full pipe within this time.
constexpr auto ShutdownTimeout = 300ms;
/// Interval at which a blocked write checks whether the shutdown has started.
constexpr auto PollInterval = 50ms;

} // namespace

void LineOutput::consume(const boost::log::record_view &, const std::string &line)
{
    const std::string text = line + '\n';
    std::string_view left = text;
    while (!left.empty()) {
        if (!waitForRoom())
            return;
        const std::size_t chunk = std::min<std::size_t>(left.size(), PIPE_BUF);
        const ssize_t written = ::write(m_descriptor, left.data(), chunk);
        if (written < 0 && errno != EINTR)
            return; // The reader is gone.
        left.remove_prefix(written > 0 ? static_cast<std::size_t>(written) : 0);
    }
}

void LineOutput::startShutdown() noexcept
{
    m_deadline = Clock::now() + ShutdownTimeout;
}

bool LineOutput::waitForRoom() const noexcept
{
    pollfd output{m_descriptor, POLLOUT, 0};
    for (;;) {
        const auto wait
            = std::clamp<Clock::duration>(m_deadline.load() - Clock::now(), 0ms, PollInterval);
        if (::poll(&output, 1, static_cast<int>(duration_cast<milliseconds>(wait).count())) != 0)
            return true;
        if (Clock::now() >= m_deadline.load())
            return false;
    }
}

} // namespace baobabtrail::daemon
