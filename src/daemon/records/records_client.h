#pragma once

#include "core/endpoint.h"
#include "core/time.h"
#include "daemon/records/nng_handles.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace baobabtrail::daemon {

/// \brief Asks other daemons for records and status, over nng.
class RecordsClient
{
public:
    /// Takes the answer, or nothing where none came in time.
    using Handler = std::function<void(std::optional<std::string>)>;

    RecordsClient(boost::asio::io_context &context, Duration timeout);
    /// \brief Answers what is open with nothing, later.
    ~RecordsClient();
    RecordsClient(const RecordsClient &) = delete;
    RecordsClient &operator=(const RecordsClient &) = delete;

    /// \param done Called once, never from within fetch().
    void fetch(const Endpoint &peer, const std::string &request, Handler done);

private:
    struct Connection;
    struct Call;
    using CallNumber = std::uint64_t;

    [[nodiscard]] std::shared_ptr<Connection> connectionTo(const Endpoint &peer);
    void closeIdleConnections();
    void start(CallNumber number, const std::string &request);
    void completed(CallNumber number);
    void finish(CallNumber number, std::optional<std::string> answer);

    boost::asio::io_context &m_context;
    Duration m_timeout;
    std::map<Endpoint, std::shared_ptr<Connection>> m_connections;
    std::map<CallNumber, std::unique_ptr<Call>> m_calls;
    CallNumber m_nextCall = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace baobabtrail::daemon
