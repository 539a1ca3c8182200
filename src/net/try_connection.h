#pragma once

#include "core/endpoint.h"
#include "core/time.h"

#include <boost/asio/io_context.hpp>

#include <functional>

namespace baobabtrail {

/// \brief How a try to connect has ended.
enum class Connected {
    Yes,
    Refused, ///< The machine answered, and did not take it.
    No,      ///< Unreachable, or no answer in time.
    Unsure,  ///< No answer, but this process looked much later than it meant to.
};

/// \brief Tries to connect over TCP, and closes at once what is connected.
/// \param timeout For the other machine's answer.
/// \param done Called once, from the io_context.
void tryConnection(boost::asio::io_context &context, const Endpoint &server, Duration timeout,
                   std::function<void(Connected)> done);

} // namespace baobabtrail
