#pragma once

#include "daemon/clock.h"
#include "daemon/supervisor/supervisor.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace baobabtrail::daemon {

/// \return A runtime whose timers run on \a context.
/// \param failed Called for each failure of a child.
[[nodiscard]] inline SupervisorRuntime asioRuntime(boost::asio::io_context &context,
                                                   decltype(SupervisorRuntime::failed) failed)
{
    SupervisorRuntime result;
    result.now = [] { return monotonicNow(); };
    result.after = [&context](Duration delay, std::function<void()> call) {
        const auto timer = std::make_shared<boost::asio::steady_timer>(context, delay);
        timer->async_wait([timer, call = std::move(call)](boost::system::error_code error) {
            if (!error)
                call();
        });
    };
    result.failed = std::move(failed);
    return result;
}

/// \return A child whose object is created in \a owner by \a start, and destroyed when it is
/// stopped.
template <typename Part>
[[nodiscard]] Child ownedChild(std::string name, std::unique_ptr<Part> &owner,
                               std::function<void(FailureHandler)> start)
{
    return {std::move(name), std::move(start), [&owner] { owner.reset(); }};
}

} // namespace baobabtrail::daemon
