#pragma once

#include "core/time.h"
#include "net/restartable_timer.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>

namespace baobabtrail::daemon {

/// \brief Waits for a quiet period: until no datagram has arrived for a given time.
///
/// The upstream load balancer keeps sending datagrams to a stopping daemon until it notices the
/// stop. Each lost datagram is a gap in a caller's feed, and a few in a row look like a flow that
/// has gone silent; so the daemon forwards them until none has arrived for a while.
class QuietWait
{
public:
    /// \brief How to detect that datagrams still arrive.
    struct Traffic
    {
        const std::uint64_t &counter; ///< Datagrams read so far; must outlive the wait.
        /// Whether datagrams have arrived that aren't counted yet, as after a process stall.
        std::function<bool()> unread;
    };

    explicit QuietWait(boost::asio::io_context &context)
        : m_timer(context)
    {
    }

    /// \param quiet Length of the quiet period.
    /// \param done Called once, when it has passed.
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
