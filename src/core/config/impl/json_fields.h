#pragma once

#include "core/config/config.h"

#include <boost/json/object.hpp>

#include <stdexcept>
#include <string>
#include <string_view>

namespace baobabtrail::impl {

/// \brief A stored value can't be decoded; what() says where and why.
class FormatError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// \brief Reads the fields of a JSON object; errors name the field.
///
/// All readers throw FormatError if the field is missing or of another type.
class FieldReader
{
public:
    /// \throws FormatError if \a value is not an object.
    FieldReader(const boost::json::value &value, std::string place);

    [[nodiscard]] const boost::json::value &value(std::string_view field) const;
    [[nodiscard]] std::string text(std::string_view field) const;
    [[nodiscard]] std::uint64_t number(std::string_view field) const;
    [[nodiscard]] std::uint32_t number32(std::string_view field) const;
    [[nodiscard]] std::int64_t seconds(std::string_view field) const;
    [[nodiscard]] Endpoint endpoint(std::string_view field) const;
    [[nodiscard]] const boost::json::array &array(std::string_view field) const;
    [[nodiscard]] FieldReader object(std::string_view field) const;

    [[noreturn]] void fail(const std::string &what) const;

private:
    const boost::json::object *m_object = nullptr;
    std::string m_place;
};

[[nodiscard]] boost::json::object toJson(const ServiceLimits &limits);
[[nodiscard]] ServiceLimits readLimits(const FieldReader &fields);

/// \brief Serializes \a body under the key \a bodyName, together with a checksum of its text.
[[nodiscard]] std::string seal(std::string_view bodyName, const boost::json::object &body);
/// \brief Verifies the checksum of a text from seal() and returns the body.
/// \throws FormatError if the text is not JSON, lacks a field or doesn't match its checksum.
[[nodiscard]] boost::json::value unseal(std::string_view bodyName, std::string_view text,
                                        const std::string &place);
/// \return XXH3 of \a text, 16 hexadecimal digits.
[[nodiscard]] std::string checksum(std::string_view text);

} // namespace baobabtrail::impl
