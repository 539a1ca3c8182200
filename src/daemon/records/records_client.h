#pragma once

#include "core/endpoint.h"
#include "core/time.h"
#include "net/http_client.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace baobabtrail::daemon {

/// \brief Asks other daemons for records and status, over HTTP.
class RecordsClient
{
public:
    /// Takes the answer, or nothing where none came in time.
    using Handler = std::function<void(std::optional<std::string>)>;

    /// \param timeout Of a fetch, from its start to the end of the answer.
    RecordsClient(boost::asio::io_context &context, Duration timeout);
    /// \brief Answers what is open with nothing, later.
    ~RecordsClient();
    RecordsClient(const RecordsClient &) = delete;
    RecordsClient &operator=(const RecordsClient &) = delete;

    /// \param done Called once, never from within fetch().
    void fetch(const Endpoint &peer, const std::string &request, Handler done);

private:
    using FetchNumber = std::uint64_t;

    boost::asio::io_context &m_context;
    Duration m_timeout;
    HttpClient m_http;
    std::map<FetchNumber, Handler> m_open;
    FetchNumber m_nextFetch = 0;
};

} // namespace baobabtrail::daemon
