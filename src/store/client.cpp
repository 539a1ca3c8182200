#include "store/client.h"

#include "platform/object_form.h"

#include <utility>

namespace baobabtrail {

namespace {

[[nodiscard]] Duration extraWait(const PlatformRequest &request) noexcept
{
    const auto *watch = std::get_if<WatchObjects>(&request);
    return watch ? watch->wait : Duration{0};
}

[[nodiscard]] std::uint64_t maxBytes(const PlatformRequest &request) noexcept
{
    const auto *watch = std::get_if<WatchObjects>(&request);
    return watch ? watch->maxBytes : 0;
}

/// \return The part of an error message that says how many bytes were received, if any.
[[nodiscard]] std::string after(std::uint64_t bytes)
{
    return bytes == 0 ? std::string{} : ", after " + std::to_string(bytes) + " bytes";
}

} // namespace

PlatformClient::PlatformClient(boost::asio::io_context &context, PlatformClientSettings settings)
    : m_settings(settings)
    , m_http(context)
{
}

void PlatformClient::call(const PlatformRequest &request, Handler done)
{
    HttpCall call;
    call.server = m_settings.platform;
    call.request = platform::toHttp(request, m_settings.platform);
    call.timeout = m_settings.timeout + extraWait(request);
    call.totalTimeout = call.timeout + m_settings.maxAnswerTime;
    call.maxBodyBytes = maxBytes(request);
    call.repeatable = platform::isRead(request);
    m_http.call(std::move(call), [request, done = std::move(done)](const HttpResult &result) {
        const auto *failure = std::get_if<HttpFailure>(&result);
        if (failure && failure->tooLong && std::holds_alternative<WatchObjects>(request))
            done(WatchAnswerTooLarge{});
        else if (failure)
            done(PlatformFailure{"the store: " + failure->what + after(failure->bytes)});
        else
            done(platform::toResult(request, std::get<HttpClientResponse>(result)));
    });
}

} // namespace baobabtrail
