#pragma once

#include "direct/target.h"

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <string>

#include <unistd.h>

namespace baobabtrail::soak {

using standins::TargetLog;
using standins::TargetRun;

/// \return Milliseconds since the Unix epoch, the time format of all files that the soak writes
/// next to the daemons' logs.
[[nodiscard]] inline std::int64_t unixMillis(std::chrono::system_clock::time_point time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

/// \brief Log directory of one seed: the daemons' logs, the injected faults with their times, and
/// the requests that each target ran. The destructor removes it unless keep() was called.
class SoakLogs
{
public:
    /// \param parent Directory under which each seed gets its own directory.
    SoakLogs(const std::filesystem::path &parent, std::uint64_t seed)
        : m_directory(parent / ("seed-" + std::to_string(seed) + '-' + std::to_string(getpid())))
    {
        std::filesystem::create_directories(m_directory);
        m_faults.open(m_directory / "faults.log");
    }
    ~SoakLogs()
    {
        std::error_code ignored; // A failed removal only leaves files behind.
        if (!m_kept)
            std::filesystem::remove_all(m_directory, ignored);
    }
    SoakLogs(const SoakLogs &) = delete;
    SoakLogs &operator=(const SoakLogs &) = delete;

    [[nodiscard]] std::string directory() const { return m_directory; }

    void fault(const std::string &what)
    {
        m_faults << unixMillis(std::chrono::system_clock::now()) << ' ' << what << std::endl;
    }

    /// \brief Writes a file into the log directory.
    void add(const std::string &file, const std::string &text) const
    {
        std::ofstream{m_directory / file} << text;
    }

    /// \return The last line of a daemon's log that contains both words, or an empty string.
    [[nodiscard]] std::string lastLine(std::size_t daemon, const std::string &word,
                                       const std::string &other) const
    {
        std::ifstream log{m_directory / ("daemon" + std::to_string(daemon) + ".log")};
        std::string found;
        for (std::string line; std::getline(log, line);) {
            if (line.find(word) != std::string::npos && line.find(other) != std::string::npos)
                found = line;
        }
        return found;
    }

    /// \brief Retains the directory and writes the requests that ran to runs.log.
    /// \return Path of the directory.
    std::string keep(const TargetLog &targets)
    {
        m_kept = true;
        std::ofstream runs{m_directory / "runs.log"};
        for (const TargetRun &run : targets.record)
            runs << unixMillis(run.at) << " request " << run.request << " target " << run.target
                 << " caller " << toString(run.caller) << " daemon " << toString(run.daemon)
                 << (targets.runs.at(run.request) > 1 ? " TWICE" : "") << '\n';
        return m_directory;
    }

private:
    std::filesystem::path m_directory;
    std::ofstream m_faults;
    bool m_kept = false;
};

} // namespace baobabtrail::soak
