#pragma once

#include "core/time.h"
#include "net/restartable_timer.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <optional>

namespace baobabtrail::daemon {

/// \brief The one timer of a core node: fires when its nextTimer() has come.
///
/// A node's next time often moves later, with each datagram; the timer is then left to fire and
/// set anew, since setting it costs more than firing once too often.
class CoreTimer
{
public:
    /// \param next The node's nextTimer(). \param expired Handles the node's timer event.
    CoreTimer(boost::asio::io_context &context, std::function<std::optional<TimePoint>()> next,
              std::function<void()> expired);
    CoreTimer(const CoreTimer &) = delete;
    CoreTimer &operator=(const CoreTimer &) = delete;

    /// \brief To be called after each event that the node handled.
    void update();

private:
    void fired();

    RestartableTimer m_timer;
    std::function<std::optional<TimePoint>()> m_next;
    std::function<void()> m_expired;
    std::optional<TimePoint> m_armed;
};

} // namespace baobabtrail::daemon
