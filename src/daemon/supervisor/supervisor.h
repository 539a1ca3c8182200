#pragma once

#include "core/time.h"
#include "daemon/settings/settings.h"

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace baobabtrail::daemon {

/// \brief Called by a child to report that it can't continue, and why.
using FailureHandler = std::function<void(const std::string &why)>;

/// \brief A component that a supervisor starts, stops and restarts.
struct Child
{
    std::string name;
    /// Throws if the child can't start; if the child fails later, it calls the handler.
    std::function<void(FailureHandler)> start;
    /// Also called after a failure, and before a start that threw is retried.
    std::function<void()> stop;
};

/// \brief Clock, timers and failure log of a supervisor; tests pass a virtual clock.
struct SupervisorRuntime
{
    std::function<TimePoint()> now;
    /// Calls the function after the delay, never from within this call.
    std::function<void(Duration, std::function<void()>)> after;
    /// Called for each failure that is followed by a restart, with the delay until then.
    std::function<void(const std::string &child, const std::string &why, Duration delay)> failed;
};

/// \brief Keeps its children running: restarts a failed child with exponential backoff, and fails
/// itself if a child fails too often.
///
/// \code
/// Supervisor root{"daemon", policy, runtime};
/// root.add({"data socket", startData, stopData});
/// root.add(traffic.asChild());
/// root.start([](const std::string &why) { ... });
/// \endcode
class Supervisor
{
public:
    Supervisor(std::string name, RestartPolicy policy, SupervisorRuntime runtime);
    ~Supervisor();
    Supervisor(const Supervisor &) = delete;
    Supervisor &operator=(const Supervisor &) = delete;

    /// \brief Adds a child. Children are started in the order in which they were added and stopped
    /// in reverse.
    void add(Child child);

    /// \brief Starts all children.
    /// \param failed Called once if a child fails too often, after all children have been stopped.
    void start(FailureHandler failed);
    void stop();

    /// \return This supervisor as a child of another; it must outlive the other one.
    [[nodiscard]] Child asChild();

private:
    struct Slot
    {
        Child child;
        std::uint64_t run = 0; ///< Number of the current run; reports of earlier ones are ignored.
        bool running = false;
        std::deque<TimePoint> failures; ///< Within the window, oldest first.
    };

    void startChild(std::size_t index);
    void stopChild(std::size_t index);
    void childFailed(std::size_t index, std::uint64_t run, const std::string &why);
    void giveUp(const std::string &why);
    [[nodiscard]] Duration delayAfter(std::size_t failures) const noexcept;
    /// \brief Schedules \a call, to be skipped if this supervisor is stopped or destroyed before
    /// then.
    void schedule(Duration delay, std::function<void()> call);

    std::string m_name;
    RestartPolicy m_policy;
    SupervisorRuntime m_runtime;
    std::vector<Slot> m_slots;
    FailureHandler m_failed;
    std::shared_ptr<std::uint64_t> m_epoch = std::make_shared<std::uint64_t>(0);
};

/// \brief Runs a child's handler and reports an exception as the child's failure; otherwise it
/// would end the event loop that all components of the daemon share.
template <typename Call>
void guarded(const FailureHandler &failed, Call &&call)
{
    try {
        std::forward<Call>(call)();
    } catch (const std::exception &error) {
        failed(error.what());
    }
}

} // namespace baobabtrail::daemon
