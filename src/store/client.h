#pragma once

#include "core/messages/platform.h"
#include "net/http_client.h"

#include <boost/asio/io_context.hpp>

#include <functional>

namespace baobabtrail {

struct PlatformClientSettings
{
    Endpoint platform;
    /// Until the answer begins, for every call but a watch, which has its own wait on top.
    Duration timeout = 3s;
    /// Until its end, on top of that: a page of a megabyte over a link of 2 Mbit/s that carries as
    /// much again of something else.
    Duration maxAnswerTime = 9s;
};

/// \brief Calls the platform's object store and VM list over HTTP. Never throws for what the
/// platform does: every call ends in a result.
///
/// The calls and their forms on the wire are in platform/object_form.h. 429 and 503 may carry
/// Retry-After in seconds.
class PlatformClient
{
public:
    using Handler = std::function<void(PlatformResult)>;

    PlatformClient(boost::asio::io_context &context, PlatformClientSettings settings);

    /// \param done Called once, from the io_context, never from within call().
    void call(const PlatformRequest &request, Handler done);

private:
    PlatformClientSettings m_settings;
    HttpClient m_http;
};

} // namespace baobabtrail
