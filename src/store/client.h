#pragma once

#include "core/messages/platform.h"
#include "net/http_client.h"

#include <boost/asio/io_context.hpp>

#include <functional>

namespace baobabtrail {

struct PlatformClientSettings
{
    Endpoint platform;
    /// Until the response begins; a watch adds its own wait to this.
    Duration timeout = 3s;
    /// Additional time until the response ends: enough for a page of 1 MB over a link of 2 Mbit/s
    /// of which other traffic takes half.
    Duration maxAnswerTime = 9s;
};

/// \brief Calls the platform's object store and VM list over HTTP.
///
/// Does not throw for errors of the platform: every call ends in a result. Responses with status
/// 429 and 503 may carry Retry-After in seconds.
/// \see platform/object_form.h for the calls and their encoding.
class PlatformClient
{
public:
    using Handler = std::function<void(PlatformResult)>;

    PlatformClient(boost::asio::io_context &context, PlatformClientSettings settings);

    /// \brief Starts a call.
    /// \param done Called once with the result, from the io_context, never from within call(). Not
    /// called if the client is destroyed first.
    void call(const PlatformRequest &request, Handler done);

private:
    PlatformClientSettings m_settings;
    HttpClient m_http;
};

} // namespace baobabtrail
