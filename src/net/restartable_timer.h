#pragma once

#include "core/time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <utility>

namespace baobabtrail {

/// \brief A timer that calls back for its most recent start() only.
///
/// A steady_timer can't cancel a wait whose handler is queued already. After a process stall, the
/// event that cancels or restarts the timer and the handler of the old wait may be ready at the
/// same time, and the handler would then act on the state that the event has set up.
class RestartableTimer
{
public:
    explicit RestartableTimer(boost::asio::io_context &context)
        : m_timer(context)
    {
    }

    /// \brief Starts the timer; cancels the previous start().
    /// \param wait Time until the callback.
    /// \param call Called once; not called after the timer was destroyed.
    void start(Duration wait, std::function<void()> call)
    {
        m_timer.expires_after(wait);
        m_timer.async_wait([newest = std::weak_ptr{m_newest}, mine = ++*m_newest,
                            call = std::move(call)](boost::system::error_code error) {
            const auto started = newest.lock();
            if (!error && started && *started == mine)
                call();
        });
    }

    /// \brief Cancels the callback, also one whose handler is queued already.
    void cancel()
    {
        ++*m_newest;
        m_timer.cancel();
    }

private:
    boost::asio::steady_timer m_timer;
    std::shared_ptr<std::uint64_t> m_newest = std::make_shared<std::uint64_t>(0);
};

} // namespace baobabtrail
