#pragma once

#include "core/endpoint.h"
#include "daemon/admin/http_server.h"
#include "daemon/records/records_http.h"
#include "daemon/supervisor/supervisor.h"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <memory>

namespace baobabtrail::daemon {

/// \brief Answers other daemons' requests for records and status over HTTP.
class RecordsServer
{
public:
    /// \param connections Maximum of keep-alive connections; further ones are closed after one
    /// reply. \param serve Answers the requests. \param failed Called when the server can't
    /// continue. \throws std::runtime_error if it can't listen on the address.
    RecordsServer(boost::asio::io_context &context, const Endpoint &local, std::size_t connections,
                  ServeRecords serve, const FailureHandler &failed);

private:
    /// Expires with the server: its connections may outlive it, and must not call \a serve then.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    HttpServer m_http;
};

} // namespace baobabtrail::daemon
