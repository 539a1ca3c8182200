#pragma once

#include "direct/world.h"

#include <chrono>
#include <condition_variable>
#include <csignal>
#include <mutex>
#include <stop_token>
#include <thread>

namespace baobabtrail::soak {

/// \brief Stops the store's process for a moment again and again, as a busy machine does by chance.
/// Whoever waits for its answer stands still too: the soak's own process, and with it all callers,
/// targets and proxies.
class StoreStalls
{
public:
    /// \param world Must outlive the stalls. \param stall How long each of them lasts.
    StoreStalls(const standins::World &world, std::chrono::milliseconds stall)
        : m_world(world)
        , m_stall(stall)
        , m_thread([this](const std::stop_token &stop) { run(stop); })
    {
    }

private:
    static constexpr std::chrono::milliseconds Between{350};

    // In a thread of its own: the soak's is the one that stands still.
    void run(const std::stop_token &stop)
    {
        while (!stop.stop_requested()) {
            m_world.signalStore(SIGSTOP);
            wait(stop, m_stall);
            m_world.signalStore(SIGCONT);
            wait(stop, Between);
        }
    }

    void wait(const std::stop_token &stop, std::chrono::milliseconds span)
    {
        std::unique_lock lock{m_mutex};
        m_changed.wait_for(lock, stop, span, [] { return false; });
    }

    const standins::World &m_world;
    std::chrono::milliseconds m_stall;
    std::mutex m_mutex;
    std::condition_variable_any m_changed;
    std::jthread m_thread; ///< The last member: it uses the others from its start to its end.
};

} // namespace baobabtrail::soak
