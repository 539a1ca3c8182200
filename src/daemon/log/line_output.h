#pragma once

#include <boost/log/core/record_view.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>

#include <atomic>
#include <chrono>
#include <string>

namespace baobabtrail::daemon {

/// \brief Log sink that writes lines to a file descriptor, and waits for a slow reader only until
/// the process shuts down.
///
/// A write to a full pipe that nobody reads never returns, so the process could not exit. Therefore
/// each write first polls for room, and is no longer than what a pipe with room accepts at once.
class LineOutput : public boost::log::sinks::basic_formatted_sink_backend<
                       char, boost::log::sinks::synchronized_feeding>
{
public:
    /// \param descriptor Must stay open for as long as this object lives.
    explicit LineOutput(int descriptor) noexcept
        : m_descriptor(descriptor)
    {
    }

    /// \brief Writes one line. Drops it if the process is shutting down and the reader doesn't read
    /// in time, or if the reader is gone.
    void consume(const boost::log::record_view &record, const std::string &line);
    /// \brief Starts the timeout after which lines that the reader doesn't accept are dropped.
    /// Thread-safe.
    void startShutdown() noexcept;

private:
    using Clock = std::chrono::steady_clock;

    [[nodiscard]] bool waitForRoom() const noexcept;

    int m_descriptor;
    std::atomic<Clock::time_point> m_deadline{Clock::time_point::max()};
};

} // namespace baobabtrail::daemon
