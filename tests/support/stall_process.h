#pragma once

#include "core/time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace baobabtrail::test {

/// \brief Time passes while no context runs, as in a process that stands still: events and timers
/// are ready together afterwards.
inline void stallProcess(Duration span)
{
    boost::asio::io_context other;
    boost::asio::steady_timer{other, span}.wait();
}

} // namespace baobabtrail::test
