#include "platform/impl/http_form.h"

#include "platform/impl/json_form.h"

#include <boost/beast/http/field.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/beast/http/verb.hpp>

#include <charconv>
#include <optional>

namespace baobabtrail::impl {

namespace http = boost::beast::http;

namespace {

constexpr int HttpVersion = 11;
constexpr std::string_view ObjectsPath = "/v1/objects/";

[[nodiscard]] bool isPlain(char c) noexcept
{
    const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    const bool digit = c >= '0' && c <= '9';
    return letter || digit || c == '-' || c == '.' || c == '_' || c == '~' || c == '/';
}

[[nodiscard]] HttpRequest objectRequest(http::verb verb, const std::string &key)
{
    return {verb, std::string{ObjectsPath} + percentEncode(key), HttpVersion};
}

/// \brief Makes the request line and what a call needs besides.
struct RequestMaker
{
    HttpRequest operator()(const CreateObject &in) const
    {
        HttpRequest out = objectRequest(http::verb::put, in.key);
        out.set(http::field::if_none_match, "*");
        out.body() = in.value;
        return out;
    }

    HttpRequest operator()(const UpdateObject &in) const
    {
        HttpRequest out = objectRequest(http::verb::put, in.key);
        out.set(http::field::if_match, '"' + std::to_string(in.expected.value()) + '"');
        out.body() = in.value;
        return out;
    }

    HttpRequest operator()(const ReadObject &in) const
    {
        return objectRequest(http::verb::get, in.key);
    }

    HttpRequest operator()(const DeleteObject &in) const
    {
        return objectRequest(http::verb::delete_, in.key);
    }

    HttpRequest operator()(const ListObjects &in) const
    {
        return {http::verb::get,
                "/v1/objects?prefix=" + percentEncode(in.prefix)
                    + "&after=" + percentEncode(in.after) + "&limit=" + std::to_string(in.limit),
                HttpVersion};
    }

    HttpRequest operator()(const WatchObjects &in) const
    {
        const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(in.wait);
        return {http::verb::get,
                "/v1/watch?prefix=" + percentEncode(in.prefix) + "&after="
                    + std::to_string(in.after.value()) + "&wait=" + std::to_string(wait.count()),
                HttpVersion};
    }

    HttpRequest operator()(const ListVms &) const
    {
        return {http::verb::get, "/v1/vms", HttpVersion};
    }
};

[[nodiscard]] std::optional<std::uint64_t> parseNumber(std::string_view text) noexcept
{
    std::uint64_t number = 0;
    const char *end = text.data() + text.size();
    const auto [parsed, status] = std::from_chars(text.data(), end, number);
    if (status != std::errc{} || parsed != end)
        return std::nullopt;
    return number;
}

[[nodiscard]] std::string_view headerOf(const HttpResponse &response, http::field field) noexcept
{
    const auto value = response[field];
    return {value.data(), value.size()};
}

[[nodiscard]] std::optional<ObjectVersion> versionOf(const HttpResponse &response) noexcept
{
    std::string_view tag = headerOf(response, http::field::etag);
    if (tag.size() < 2 || tag.front() != '"' || tag.back() != '"')
        return std::nullopt;
    tag = tag.substr(1, tag.size() - 2);
    const auto number = parseNumber(tag);
    return number ? std::optional{ObjectVersion{*number}} : std::nullopt;
}

[[nodiscard]] PlatformFailure unexpected(const HttpResponse &response)
{
    const auto seconds = parseNumber(headerOf(response, http::field::retry_after)).value_or(0);
    constexpr std::uint64_t longestRetryAfter = 3600;
    return {"the platform answered with status " + std::to_string(response.result_int()),
            std::chrono::seconds{std::min(seconds, longestRetryAfter)}};
}

[[nodiscard]] PlatformResult written(const HttpResponse &response)
{
    const auto version = versionOf(response);
    if (!version)
        return PlatformFailure{"the platform answered a write without a version"};
    return Written{*version};
}

/// \brief Reads a response by what was asked; any status that is not named here is a failure.
class ResultReader
{
public:
    explicit ResultReader(const HttpResponse &response) noexcept
        : m_response(response)
    {
    }

    PlatformResult operator()(const CreateObject &) const
    {
        return afterWrite(http::status::created);
    }

    PlatformResult operator()(const UpdateObject &) const { return afterWrite(http::status::ok); }

    PlatformResult operator()(const ReadObject &in) const
    {
        if (is(http::status::not_found))
            return ObjectMissing{};
        if (!is(http::status::ok))
            return unexpected(m_response);
        const auto version = versionOf(m_response);
        if (!version)
            return PlatformFailure{"the platform answered a read without a version"};
        return StoredObject{in.key, m_response.body(), *version};
    }

    PlatformResult operator()(const DeleteObject &) const
    {
        if (is(http::status::not_found))
            return ObjectMissing{};
        if (!is(http::status::no_content))
            return unexpected(m_response);
        return Written{versionOf(m_response).value_or(ObjectVersion{})};
    }

    PlatformResult operator()(const ListObjects &) const { return objectList(); }
    PlatformResult operator()(const WatchObjects &) const { return objectList(); }

    PlatformResult operator()(const ListVms &) const
    {
        return is(http::status::ok) ? parseVmList(m_response.body()) : unexpected(m_response);
    }

private:
    [[nodiscard]] bool is(http::status status) const noexcept
    {
        return m_response.result() == status;
    }

    [[nodiscard]] PlatformResult afterWrite(http::status success) const
    {
        if (is(http::status::precondition_failed))
            return WriteConflict{};
        return is(success) ? written(m_response) : unexpected(m_response);
    }

    [[nodiscard]] PlatformResult objectList() const
    {
        return is(http::status::ok) ? parseObjectList(m_response.body()) : unexpected(m_response);
    }

    const HttpResponse &m_response;
};

struct ReadCheck
{
    bool operator()(const CreateObject &) const noexcept { return false; }
    bool operator()(const UpdateObject &) const noexcept { return false; }
    bool operator()(const DeleteObject &) const noexcept { return false; }
    bool operator()(const ReadObject &) const noexcept { return true; }
    bool operator()(const ListObjects &) const noexcept { return true; }
    bool operator()(const WatchObjects &) const noexcept { return true; }
    bool operator()(const ListVms &) const noexcept { return true; }
};

} // namespace

std::string percentEncode(std::string_view text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string out;
    for (const char c : text) {
        if (isPlain(c)) {
            out.push_back(c);
            continue;
        }
        const auto byte = static_cast<unsigned char>(c);
        out.push_back('%');
        out.push_back(digits[byte >> 4]);
        out.push_back(digits[byte & 0xf]);
    }
    return out;
}

HttpRequest toHttp(const PlatformRequest &request, const Endpoint &platform)
{
    HttpRequest out = std::visit(RequestMaker{}, request);
    out.set(http::field::host, toString(platform));
    out.keep_alive(true);
    out.prepare_payload();
    return out;
}

PlatformResult toResult(const PlatformRequest &request, const HttpResponse &response)
{
    return std::visit(ResultReader{response}, request);
}

bool isRead(const PlatformRequest &request) noexcept
{
    return std::visit(ReadCheck{}, request);
}

} // namespace baobabtrail::impl
