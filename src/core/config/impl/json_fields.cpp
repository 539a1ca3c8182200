#include "core/config/impl/json_fields.h"

#include "core/impl/hash.h"

#include <boost/algorithm/hex.hpp>
#include <boost/endian/conversion.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <array>
#include <cstring>
#include <iterator>
#include <limits>

namespace baobabtrail::impl {

namespace json = boost::json;

FieldReader::FieldReader(const json::value &value, std::string place)
    : m_object(value.if_object())
    , m_place(std::move(place))
{
    if (!m_object)
        fail("is not an object");
}

void FieldReader::fail(const std::string &what) const
{
    throw FormatError(m_place + ": " + what);
}

const json::value &FieldReader::value(std::string_view field) const
{
    const json::value *found = m_object->if_contains(field);
    if (!found)
        fail("lacks \"" + std::string{field} + '"');
    return *found;
}

std::string FieldReader::text(std::string_view field) const
{
    const json::string *found = value(field).if_string();
    if (!found)
        fail('"' + std::string{field} + "\" is not a string");
    return std::string{found->data(), found->size()};
}

std::uint64_t FieldReader::number(std::string_view field) const
{
    boost::system::error_code error;
    const auto result = value(field).to_number<std::uint64_t>(error);
    if (error)
        fail('"' + std::string{field} + "\" is not a non-negative integer");
    return result;
}

std::uint32_t FieldReader::number32(std::string_view field) const
{
    const std::uint64_t wide = number(field);
    if (wide > std::numeric_limits<std::uint32_t>::max())
        fail('"' + std::string{field} + "\" is too large");
    return static_cast<std::uint32_t>(wide);
}

std::int64_t FieldReader::seconds(std::string_view field) const
{
    boost::system::error_code error;
    const auto result = value(field).to_number<std::int64_t>(error);
    if (error)
        fail('"' + std::string{field} + "\" is not an integer");
    return result;
}

Endpoint FieldReader::endpoint(std::string_view field) const
{
    const auto parsed = parseEndpoint(text(field));
    if (!parsed)
        fail('"' + std::string{field} + "\" is not an IPv4 address with a port");
    return *parsed;
}

const json::array &FieldReader::array(std::string_view field) const
{
    const json::array *found = value(field).if_array();
    if (!found)
        fail('"' + std::string{field} + "\" is not an array");
    return *found;
}

FieldReader FieldReader::object(std::string_view field) const
{
    return FieldReader{value(field), m_place + '.' + std::string{field}};
}

// Workspaces are called tenants in stored records.
json::object toJson(const ServiceLimits &limits)
{
    return {{"queue-per-slot", limits.queuePerSlot},
            {"tenant-share", limits.workspaceShare},
            {"retry-percent", limits.retryPercent}};
}

ServiceLimits readLimits(const FieldReader &fields)
{
    ServiceLimits limits;
    limits.queuePerSlot = fields.number32("queue-per-slot");
    limits.workspaceShare = fields.number32("tenant-share");
    limits.retryPercent = fields.number32("retry-percent");
    return limits;
}

std::string checksum(std::string_view text)
{
    std::array<unsigned char, 8> bytes{};
    const std::uint64_t hash = boost::endian::native_to_big(hash64(text));
    std::memcpy(bytes.data(), &hash, sizeof hash);
    std::string result;
    boost::algorithm::hex_lower(bytes.begin(), bytes.end(), std::back_inserter(result));
    return result;
}

std::string seal(std::string_view bodyName, const json::object &body)
{
    const std::string text = json::serialize(body);
    std::string sealed = R"({"checksum":")" + checksum(text) + R"(",")";
    sealed += bodyName;
    sealed += "\":" + text + '}';
    return sealed;
}

json::value unseal(std::string_view bodyName, std::string_view text, const std::string &place)
{
    boost::system::error_code error;
    json::value sealed = json::parse(text, error);
    if (error)
        throw FormatError(place + ": is not JSON: " + error.message());
    const FieldReader fields{sealed, place};
    json::value body = fields.value(bodyName);
    // Without the checksum, a damaged object that still parses would give daemons different
    // configurations at the same revision. The body is reserialized, so only content counts.
    if (checksum(json::serialize(body)) != fields.text("checksum"))
        fields.fail("checksum does not match");
    return body;
}

} // namespace baobabtrail::impl
