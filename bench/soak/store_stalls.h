#pragma once

#include "direct/world.h"

#include <chrono>
#include <condition_variable>
#include <csignal>
#include <mutex>
#include <stop_token>
#include <thread>

namespace baobabtrail::soak {

/// \brief Periodically stops the store's process for a short time, as an overloaded machine does.
/// A process that waits for the store's answer stalls too: the soak process itself, and with it all
/// callers, targets and proxies.
class StoreStalls
{
public:
    /// \param world Must outlive this object.
    /// \param stall Duration of each stall.
    StoreStalls(const standins::World &world, std::chrono::milliseconds stall)
        : m_world(world)
        , m_stall(stall)
        , m_thread([this](const std::stop_token &stop) { run(stop); })
    {
    }

private:
    static constexpr std::chrono::milliseconds Between{350};

    // Runs in a thread of its own, since the soak's main thread is blocked during a stall.
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
    std::jthread m_thread; ///< Last member, as the thread uses all the others.
};

} // namespace baobabtrail::soak
