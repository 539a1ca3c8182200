#pragma once

#include "core/random.h"
#include "core/time.h"

#include <deque>
#include <functional>
#include <memory>

namespace baobabtrail {

/// \brief Decides when the feeds of one daemon call the store again after a failure.
///
/// One feed at a time calls, and finds out for all of them whether the store is back; once it
/// answers, the others call too. For daemons that usually get their copies from others: where
/// hundreds of them have lost their sources, each call counts.
class StoreRetry
{
public:
    struct Callbacks
    {
        std::function<TimePoint()> now;
        /// Calls back later, never from within the call.
        std::function<void(Duration, std::function<void()>)> after;
    };

    /// \param interval Maximum time between the starts of two calls while the store fails.
    StoreRetry(Duration interval, Callbacks callbacks, Random &random);
    StoreRetry(const StoreRetry &) = delete;
    StoreRetry &operator=(const StoreRetry &) = delete;

    /// \brief Has a failed call repeated.
    /// \param caller Identifies the feed, which has one call to repeat at a time.
    /// \param calledAt When the failed call was made: the store may have returned right after it.
    /// \param atLeast Minimum wait that the store asked for.
    void add(const void *caller, TimePoint calledAt, Duration atLeast, std::function<void()> call);
    /// \brief Drops the feed's call: it has stopped, or calls anyway.
    void remove(const void *caller);
    /// \brief The store has answered one of the feeds: repeats all calls.
    void storeAnswered();

private:
    struct Waiting
    {
        const void *caller = nullptr;
        std::function<void()> call;
    };

    void schedule(Duration wait);
    /// \brief Repeats the call that has waited longest.
    void callNext();

    Duration m_interval;
    Callbacks m_callbacks;
    Random &m_random;
    std::deque<Waiting> m_waiting;
    bool m_scheduled = false; ///< The timer for callNext() runs.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace baobabtrail
