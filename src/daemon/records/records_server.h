#pragma once

#include "core/endpoint.h"
#include "daemon/records/nng_handles.h"
#include "daemon/supervisor/supervisor.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace baobabtrail::daemon {

/// \brief Answers other daemons' requests for records and status, over nng.
///
/// nng's own threads only wake the io_context; every answer is made there.
class RecordsServer
{
public:
    /// \return The answer, or nothing where the request is not to be answered.
    using Serve = std::function<std::optional<std::string>(std::string_view request)>;

    /// \param contexts Requests that are answered at once.
    /// \throws std::runtime_error where the address can't be listened on.
    RecordsServer(boost::asio::io_context &context, const Endpoint &local, std::uint32_t contexts,
                  Serve serve, FailureHandler failed);
    ~RecordsServer();
    RecordsServer(const RecordsServer &) = delete;
    RecordsServer &operator=(const RecordsServer &) = delete;

private:
    struct Worker;

    void receive(Worker &worker);
    void completed(Worker &worker);
    void answer(Worker &worker);

    boost::asio::io_context &m_context;
    Serve m_serve;
    FailureHandler m_failed;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    NngSocket m_socket;
    std::vector<std::unique_ptr<Worker>> m_workers; // before the socket in destruction
};

} // namespace baobabtrail::daemon
