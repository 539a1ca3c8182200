#pragma once

#include "core/endpoint.h"
#include "core/time.h"
#include "daemon/settings/duration_text.h"
#include "daemon/settings/findings.h"

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <concepts>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace baobabtrail::daemon {

enum class Presence { Required, Optional };

/// \brief Reads the keys of a JSON object into typed values and collects a finding for each error.
///
/// An invalid value leaves its output unchanged and reading continues, so that one run reports all
/// errors.
///
/// \code
/// ObjectReader reader{object, "control", findings};
/// reader.duration("pingPeriod", settings.pingPeriod, 10ms, 1min);
/// reader.finish();
/// \endcode
class ObjectReader
{
public:
    ObjectReader(const boost::json::object &object, std::string path, Findings &findings);

    void text(std::string_view key, std::string &out, Presence presence = Presence::Optional);
    void endpoint(std::string_view key, Endpoint &out, Presence presence = Presence::Optional);
    void duration(std::string_view key, Duration &out, Duration min, Duration max);
    /// \brief Reads a time that the platform sets for all its VMs, any number of its unit. One out
    /// of range becomes the nearest one within: a finding would keep every daemon from starting.
    void bound(std::string_view key, Duration &out, Duration min, Duration max, Rounding rounding);

    template <std::unsigned_integral Number>
    void number(std::string_view key, Number &out, std::uint64_t min,
                std::uint64_t max = std::numeric_limits<Number>::max(),
                Presence presence = Presence::Optional)
    {
        std::uint64_t value = out;
        if (readNumber(key, value, min, max, presence))
            out = static_cast<Number>(value);
    }

    void flag(std::string_view key, bool &out);
    /// \brief Reads a floating-point number.
    void real(std::string_view key, double &out, double min, double max);

    /// \brief Reads a list of strings and converts each by \a convert.
    /// \param convert Takes a string; returns an optional value, empty where the string is invalid.
    /// \param expected Describes a valid string, for the finding.
    template <typename Value, typename Convert>
    void list(std::string_view key, std::vector<Value> &out, Convert convert,
              std::string_view expected, Presence presence = Presence::Optional)
    {
        const boost::json::value *found = find(key, presence);
        if (!found)
            return;
        if (!found->is_array()) {
            addFinding(key, "expected a list of " + std::string{expected});
            return;
        }
        std::vector<Value> values;
        for (std::size_t index = 0; index < found->get_array().size(); ++index) {
            const boost::json::value &entry = found->get_array()[index];
            const auto value = entry.is_string() ? convert(std::string_view{entry.get_string()})
                                                 : decltype(convert(std::string_view{})){};
            if (!value) {
                addFinding(std::string{key} + '[' + std::to_string(index) + ']',
                           "expected " + std::string{expected});
                continue;
            }
            values.push_back(*value);
        }
        out = std::move(values);
    }

    /// \brief Reads a nested object.
    /// \param read Called with its ObjectReader if the key is present.
    template <typename Read>
    void section(std::string_view key, Read read, Presence presence = Presence::Optional)
    {
        const boost::json::value *found = find(key, presence);
        if (!found)
            return;
        if (!found->is_object()) {
            addFinding(key, "expected an object");
            return;
        }
        ObjectReader nested{found->get_object(), pathOf(key), m_findings};
        read(nested);
        nested.finish();
    }

    /// \brief Adds a finding about \a key.
    void addFinding(std::string_view key, std::string text);
    /// \brief Adds a finding for each key that no call has read, suggesting a known key of similar
    /// spelling.
    void finish();

private:
    [[nodiscard]] const boost::json::value *find(std::string_view key, Presence presence);
    [[nodiscard]] std::string pathOf(std::string_view key) const;
    /// \return The time, or nothing where the key is absent or has another value.
    [[nodiscard]] std::optional<Duration> readDuration(std::string_view key, Rounding rounding);
    bool readNumber(std::string_view key, std::uint64_t &out, std::uint64_t min, std::uint64_t max,
                    Presence presence);

    const boost::json::object &m_object;
    std::string m_path;
    Findings &m_findings;
    std::vector<std::string> m_knownKeys;
};

} // namespace baobabtrail::daemon
