#pragma once

#include "core/time.h"
#include "net/restartable_timer.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>

namespace baobabtrail::daemon {

/// \brief Waits until a counter has stood still for a while: that nothing comes any more.
///
/// Whoever spreads datagrams over daemons hands them to one that stops until it has noticed. Each
/// one lost would be a gap in someone's feed, and a few in a row look like a flow that has gone
/// silent; so they are forwarded until none has come for a while.
class QuietWait
{
public:
    /// \brief What shows that something comes.
    struct Traffic
    {
        const std::uint64_t &counter; ///< Of what has come; must outlive the wait.
        /// Whether something has come that isn't counted yet, as after the process stood still.
        std::function<bool()> unread;
    };

    explicit QuietWait(boost::asio::io_context &context)
        : m_timer(context)
    {
    }

    /// \param done Called once.
    void start(Duration quiet, Traffic traffic, std::function<void()> done)
    {
        const std::uint64_t seen = traffic.counter;
        m_timer.start(quiet, [this, quiet, seen, traffic = std::move(traffic),
                              done = std::move(done)]() mutable {
            if (traffic.counter == seen && !traffic.unread())
                done();
            else
                start(quiet, std::move(traffic), std::move(done));
        });
    }

private:
    RestartableTimer m_timer;
};

} // namespace baobabtrail::daemon
