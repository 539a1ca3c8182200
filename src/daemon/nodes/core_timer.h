#pragma once

#include "core/time.h"
#include "net/restartable_timer.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <optional>

namespace baobabtrail::daemon {

/// \brief The single timer of a core node; expires at the node's nextTimer().
///
/// The node's next expiry often moves later, with each datagram. The timer is then left to fire
/// early and re-armed, since re-arming it each time costs more than one spurious wake-up.
class CoreTimer
{
public:
    /// \param next The node's nextTimer().
    /// \param expired Called when that time has come.
    CoreTimer(boost::asio::io_context &context, std::function<std::optional<TimePoint>()> next,
              std::function<void()> expired);
    CoreTimer(const CoreTimer &) = delete;
    CoreTimer &operator=(const CoreTimer &) = delete;

    /// \brief Re-arms the timer where needed; call it after each event that the node handled.
    void update();

private:
    void fired();

    RestartableTimer m_timer;
    std::function<std::optional<TimePoint>()> m_next;
    std::function<void()> m_expired;
    std::optional<TimePoint> m_armed;
};

} // namespace baobabtrail::daemon
