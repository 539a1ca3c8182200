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

/// \brief Fetches records and status from other daemons over HTTP.
class RecordsClient
{
public:
    /// Receives the answer, or nothing where the fetch failed or timed out.
    using Handler = std::function<void(std::optional<std::string>)>;

    /// \param timeout Limit for a fetch, from its start to the end of the answer.
    RecordsClient(boost::asio::io_context &context, Duration timeout);
    /// \brief Ends pending fetches without an answer; their handlers are posted.
    ~RecordsClient();
    RecordsClient(const RecordsClient &) = delete;
    RecordsClient &operator=(const RecordsClient &) = delete;

    /// \brief Sends a request to a peer.
    /// \param peer The peer's address for records.
    /// \param request The encoded request.
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
