#include "daemon/supervisor/supervisor.h"

#include <algorithm>

namespace baobabtrail::daemon {

Supervisor::Supervisor(std::string name, RestartPolicy policy, SupervisorRuntime runtime)
    : m_name(std::move(name))
    , m_policy(policy)
    , m_runtime(std::move(runtime))
{
}

Supervisor::~Supervisor()
{
    stop();
}

void Supervisor::add(Child child)
{
    m_slots.push_back(Slot{std::move(child), 0, false, {}});
}

void Supervisor::start(FailureHandler failed)
{
    m_failed = std::move(failed);
    for (std::size_t index = 0; index < m_slots.size(); ++index) {
        m_slots[index].failures.clear();
        startChild(index);
    }
}

void Supervisor::stop()
{
    // Invalidates pending restarts and failure reports, which belong to the run that ends here.
    ++*m_epoch;
    for (std::size_t index = m_slots.size(); index > 0; --index)
        stopChild(index - 1);
}

Child Supervisor::asChild()
{
    return Child{m_name, [this](FailureHandler failed) { start(std::move(failed)); },
                 [this] { stop(); }};
}

void Supervisor::startChild(std::size_t index)
{
    Slot &slot = m_slots[index];
    const std::uint64_t run = ++slot.run;
    slot.running = true;

    // A failure is handled after the child's call has returned: stopping the child from within its
    // own handler would free objects that the handler still uses.
    const auto report
        = [this, index, run, epoch = m_epoch, started = *m_epoch](const std::string &why) {
              if (*epoch != started)
                  return;
              schedule(Duration::zero(), [this, index, run, why] { childFailed(index, run, why); });
          };
    try {
        slot.child.start(report);
    } catch (const std::exception &error) {
        report(error.what());
    }
}

void Supervisor::stopChild(std::size_t index)
{
    Slot &slot = m_slots[index];
    if (!slot.running)
        return;
    slot.running = false;
    ++slot.run;
    slot.child.stop();
}

void Supervisor::childFailed(std::size_t index, std::uint64_t run, const std::string &why)
{
    Slot &slot = m_slots[index];
    if (slot.run != run)
        return;
    stopChild(index);

    const TimePoint now = m_runtime.now();
    slot.failures.push_back(now);
    while (now - slot.failures.front() > m_policy.window)
        slot.failures.pop_front();

    if (slot.failures.size() > m_policy.maxFailures) {
        giveUp(slot.child.name + ": " + why);
        return;
    }
    const Duration delay = delayAfter(slot.failures.size());
    m_runtime.failed(slot.child.name, why, delay);
    schedule(delay, [this, index] { startChild(index); });
}

void Supervisor::giveUp(const std::string &why)
{
    stop();
    if (m_failed)
        m_failed(why);
}

Duration Supervisor::delayAfter(std::size_t failures) const noexcept
{
    Duration delay = m_policy.firstDelay;
    for (std::size_t step = 1; step < failures && delay < m_policy.maxDelay; ++step)
        delay *= 2;
    return std::min(delay, m_policy.maxDelay);
}

void Supervisor::schedule(Duration delay, std::function<void()> call)
{
    m_runtime.after(delay, [epoch = m_epoch, started = *m_epoch, call = std::move(call)] {
        if (*epoch == started)
            call();
    });
}

} // namespace baobabtrail::daemon
