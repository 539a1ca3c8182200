#pragma once

#include "core/endpoint.h"
#include "core/time.h"

#include <boost/asio/io_context.hpp>

#include <functional>

namespace baobabtrail {

/// \brief Result of an attempt to connect.
enum class Connected {
    Yes,
    Refused, ///< The machine responded and refused or reset the connection.
    No,      ///< Unreachable, or no response in time.
    Unsure,  ///< No response, but this process was stalled and may have missed it.
};

/// \brief Checks whether a server accepts a TCP connection, and closes the connection at once.
/// \param timeout Time for the other machine's response.
/// \param done Called once, from the io_context.
void tryConnection(boost::asio::io_context &context, const Endpoint &server, Duration timeout,
                   std::function<void(Connected)> done);

} // namespace baobabtrail
