#pragma once

#include "core/endpoint.h"
#include "daemon/admin/http_server.h"
#include "daemon/records/records_http.h"
#include "daemon/supervisor/supervisor.h"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <memory>

namespace baobabtrail::daemon {

/// \brief Answers other daemons' requests for records and status, over HTTP.
class RecordsServer
{
public:
    /// \param connections That are kept; further ones are answered once each.
    /// \throws std::runtime_error where the address can't be listened on.
    RecordsServer(boost::asio::io_context &context, const Endpoint &local, std::size_t connections,
                  ServeRecords serve, const FailureHandler &failed);

private:
    /// Connections may outlive the server; \a serve may not be asked then.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    HttpServer m_http;
};

} // namespace baobabtrail::daemon
