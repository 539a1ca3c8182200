#pragma once

#include "daemon/records/records_client.h"
#include "daemon/records/records_server.h"
#include "support/free_ports.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <criterion/criterion.h>

namespace baobabtrail::test {

using namespace baobabtrail::daemon;

inline constexpr Duration RecordsTimeout = 300ms;

/// \return A loopback address that nothing listens on.
[[nodiscard]] inline Endpoint freeAddress()
{
    return {0x7f000001, freePorts(1).front()};
}

[[nodiscard]] inline FailureHandler unexpected()
{
    return [](const std::string &why) { cr_assert_fail("%s", why.c_str()); };
}

/// \brief Runs the event loop until \a count has reached \a wanted.
inline void runUntil(boost::asio::io_context &context, const std::size_t &count, std::size_t wanted)
{
    const auto work = boost::asio::make_work_guard(context);
    context.restart();
    while (count < wanted)
        context.run_one_for(std::chrono::seconds{10});
}

} // namespace baobabtrail::test
