#include "core/directory/store_retry.h"

#include "core/control/backoff.h"

#include <algorithm>
#include <utility>

namespace baobabtrail {

namespace {

/// Minimum pause after a failure that took up the interval.
constexpr Duration MinPause = 100ms;

} // namespace

StoreRetry::StoreRetry(Duration interval, Callbacks callbacks, Random &random)
    : m_interval(interval)
    , m_callbacks(std::move(callbacks))
    , m_random(random)
{
}

// The interval counts from the call, not from its failure: a store that returns right after it
// leaves a watch waiting for seconds.
void StoreRetry::add(const void *caller, TimePoint calledAt, Duration atLeast,
                     std::function<void()> call)
{
    remove(caller);
    m_waiting.push_back({caller, std::move(call)});
    if (m_scheduled)
        return;
    const Duration left = calledAt + withJitter(m_random, m_interval) - m_callbacks.now();
    schedule(std::max({left, atLeast, withJitter(m_random, MinPause)}));
}

void StoreRetry::remove(const void *caller)
{
    std::erase_if(m_waiting, [caller](const Waiting &each) { return each.caller == caller; });
}

void StoreRetry::storeAnswered()
{
    for (const Waiting &waiting : std::exchange(m_waiting, {}))
        waiting.call();
}

void StoreRetry::schedule(Duration wait)
{
    m_scheduled = true;
    m_callbacks.after(wait, [this, alive = std::weak_ptr{m_alive}] {
        if (!alive.expired())
            callNext();
    });
}

// The others are scheduled here, not at the end of the call: its feed may stop before that.
void StoreRetry::callNext()
{
    m_scheduled = false;
    if (m_waiting.empty())
        return;
    const Waiting next = std::move(m_waiting.front());
    m_waiting.pop_front();
    if (!m_waiting.empty())
        schedule(withJitter(m_random, m_interval));
    next.call();
}

} // namespace baobabtrail
