#pragma once

#include <chrono>
#include <functional>
#include <stdexcept>
#include <string>
#include <thread>

namespace baobabtrail::test {

/// \brief Polls a condition until it is true; a condition that throws counts as false.
/// \throws std::runtime_error After 30 s.
inline void waitUntil(const std::string &what, const std::function<bool()> &condition)
{
    using namespace std::chrono_literals;
    const auto deadline = std::chrono::steady_clock::now() + 30s;
    while (std::chrono::steady_clock::now() < deadline) {
        try {
            if (condition())
                return;
        } catch (const std::exception &) {
            // The queried process does not answer yet.
        }
        std::this_thread::sleep_for(20ms); // polling interval
    }
    throw std::runtime_error("waited too long for " + what);
}

} // namespace baobabtrail::test
