#pragma once

#include <boost/log/core/record_view.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>

#include <atomic>
#include <chrono>
#include <string>

namespace baobabtrail::daemon {

/// \brief Writes lines to a file descriptor, and waits for its reader only as long as the process
/// is not about to end.
///
/// A write into a full pipe that nobody reads never returns, and the process could not end then.
/// Each write is no longer than what a pipe with room takes at once, and room is waited for first.
class LineOutput : public boost::log::sinks::basic_formatted_sink_backend<
                       char, boost::log::sinks::synchronized_feeding>
{
public:
    /// \param descriptor Stays open for as long as this object lives.
    explicit LineOutput(int descriptor) noexcept
        : m_descriptor(descriptor)
    {
    }

    /// \brief Writes one line; drops it where the process ends and the reader takes no more.
    void consume(const boost::log::record_view &record, const std::string &line);
    /// \brief The process is about to end: the reader has a moment left. From any thread.
    void startShutdown() noexcept;

private:
    using Clock = std::chrono::steady_clock;

    [[nodiscard]] bool waitForRoom() const noexcept;

    int m_descriptor;
    std::atomic<Clock::time_point> m_deadline{Clock::time_point::max()};
};

} // namespace baobabtrail::daemon
