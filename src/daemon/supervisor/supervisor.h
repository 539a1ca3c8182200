#pragma once

#include "core/time.h"
#include "daemon/settings/settings.h"

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace baobabtrail::daemon {

/// \brief Reports that a child can't go on, and why.
using FailureHandler = std::function<void(const std::string &why)>;

/// \brief Something that a supervisor starts, stops and starts again.
struct Child
{
    std::string name;
    /// Throws, or calls the handler later, where the child fails.
    std::function<void(FailureHandler)> start;
    /// Also called after a failure and before a start that threw is tried again.
    std::function<void()> stop;
};

/// \brief What a supervisor needs of its surroundings; tests pass a virtual clock.
struct SupervisorRuntime
{
    std::function<TimePoint()> now;
    /// Calls back later, never from within the call.
    std::function<void(Duration, std::function<void()>)> after;
    /// Told of each failure and of the time until the restart.
    std::function<void(const std::string &child, const std::string &why, Duration delay)> failed;
};

/// \brief Keeps its children running: restarts one that failed after a growing delay, and fails
/// itself where one fails too often.
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

    /// \brief Adds a child; children start in the order they were added and stop in reverse.
    void add(Child child);

    /// \param failed Called once, where a child fails too often; all children are stopped then.
    void start(FailureHandler failed);
    void stop();

    /// \return This supervisor as a child of another; it must outlive that one.
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
    /// \brief Calls \a call later, unless this supervisor is gone or was stopped in between.
    void later(Duration delay, std::function<void()> call);

    std::string m_name;
    RestartPolicy m_policy;
    SupervisorRuntime m_runtime;
    std::vector<Slot> m_slots;
    FailureHandler m_failed;
    std::shared_ptr<std::uint64_t> m_epoch = std::make_shared<std::uint64_t>(0);
};

/// \brief Runs a handler of a child; an exception becomes the child's failure instead of ending
/// the loop that runs every part of the daemon.
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
