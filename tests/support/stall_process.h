#pragma once

#include "core/time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace baobabtrail::test {

/// \brief Simulates a process stall: time passes while no I/O context runs, so that events and
/// timers are ready together afterwards.
inline void stallProcess(Duration span)
{
    boost::asio::io_context other;
    boost::asio::steady_timer{other, span}.wait();
}

} // namespace baobabtrail::test
