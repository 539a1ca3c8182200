#include "daemon/settings/object_reader.h"

#include <algorithm>
#include <numeric>
#include <optional>
#include <sstream>

namespace baobabtrail::daemon {

namespace {

constexpr std::size_t MaxSuggestionEdits = 2;

/// \return The Levenshtein distance: insertions, deletions and substitutions that turn one text
/// into the other.
[[nodiscard]] std::size_t editDistance(std::string_view from, std::string_view to)
{
    std::vector<std::size_t> row(to.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 0; i < from.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i + 1;
        for (std::size_t j = 0; j < to.size(); ++j) {
            const std::size_t replaced = diagonal + (from[i] == to[j] ? 0 : 1);
            diagonal = row[j + 1];
            row[j + 1] = std::min({row[j] + 1, row[j + 1] + 1, replaced});
        }
    }
    return row.back();
}

[[nodiscard]] std::string nearestOf(const std::vector<std::string> &known, std::string_view key)
{
    std::string nearest;
    std::size_t min = MaxSuggestionEdits + 1;
    for (const std::string &candidate : known) {
        const std::size_t edits = editDistance(key, candidate);
        if (edits >= min)
            continue;
        min = edits;
        nearest = candidate;
    }
    return nearest;
}

[[nodiscard]] std::optional<std::uint64_t> wholeNumber(const boost::json::value &value)
{
    if (value.is_uint64())
        return value.get_uint64();
    if (value.is_int64() && value.get_int64() >= 0)
        return static_cast<std::uint64_t>(value.get_int64());
    return std::nullopt;
}

} // namespace

ObjectReader::ObjectReader(const boost::json::object &object, std::string path, Findings &findings)
    : m_object(object)
    , m_path(std::move(path))
    , m_findings(findings)
{
}

void ObjectReader::text(std::string_view key, std::string &out, Presence presence)
{
    const boost::json::value *found = find(key, presence);
    if (!found)
        return;
    if (!found->is_string() || found->get_string().empty()) {
        addFinding(key, "expected a non-empty string");
        return;
    }
    out = std::string{std::string_view{found->get_string()}};
}

void ObjectReader::endpoint(std::string_view key, Endpoint &out, Presence presence)
{
    const boost::json::value *found = find(key, presence);
    if (!found)
        return;
    const auto parsed
        = found->is_string() ? parseEndpoint(std::string_view{found->get_string()}) : std::nullopt;
    if (!parsed) {
        addFinding(key, "expected an IPv4 address with a port, as \"10.0.1.1:7000\"");
        return;
    }
    out = *parsed;
}

std::optional<Duration> ObjectReader::readDuration(std::string_view key, Rounding rounding)
{
    const boost::json::value *found = find(key, Presence::Optional);
    if (!found)
        return std::nullopt;
    const auto parsed = found->is_string()
                            ? parseDuration(std::string_view{found->get_string()}, rounding)
                            : std::nullopt;
    if (!parsed)
        addFinding(key, "expected a time with its unit, as \"300ms\", \"2.5s\" or \"10min\"");
    return parsed;
}

void ObjectReader::bound(std::string_view key, Duration &out, Duration min, Duration max,
                         Rounding rounding)
{
    if (const auto parsed = readDuration(key, rounding))
        out = std::clamp(*parsed, min, max);
}

void ObjectReader::duration(std::string_view key, Duration &out, Duration min, Duration max)
{
    const auto parsed = readDuration(key, Rounding::Down);
    if (!parsed)
        return;
    if (*parsed < min || *parsed > max) {
        addFinding(key, "must lie between " + toString(min) + " and " + toString(max));
        return;
    }
    out = *parsed;
}

void ObjectReader::flag(std::string_view key, bool &out)
{
    const boost::json::value *found = find(key, Presence::Optional);
    if (!found)
        return;
    if (!found->is_bool()) {
        addFinding(key, "expected true or false");
        return;
    }
    out = found->get_bool();
}

void ObjectReader::real(std::string_view key, double &out, double min, double max)
{
    const boost::json::value *found = find(key, Presence::Optional);
    if (!found)
        return;
    boost::system::error_code error;
    const auto value = found->to_number<double>(error);
    if (error || value < min || value > max) {
        std::ostringstream text;
        text << "expected a number between " << min << " and " << max;
        addFinding(key, text.str());
        return;
    }
    out = value;
}

bool ObjectReader::readNumber(std::string_view key, std::uint64_t &out, std::uint64_t min,
                              std::uint64_t max, Presence presence)
{
    const boost::json::value *found = find(key, presence);
    if (!found)
        return false;
    const auto value = wholeNumber(*found);
    if (!value) {
        addFinding(key, "expected a non-negative integer");
        return false;
    }
    if (*value < min || *value > max) {
        addFinding(key, "must lie between " + std::to_string(min) + " and " + std::to_string(max));
        return false;
    }
    out = *value;
    return true;
}

void ObjectReader::addFinding(std::string_view key, std::string text)
{
    m_findings.push_back({pathOf(key), std::move(text)});
}

void ObjectReader::finish()
{
    for (const auto &entry : m_object) {
        const std::string_view key{entry.key()};
        if (std::find(m_knownKeys.begin(), m_knownKeys.end(), key) != m_knownKeys.end())
            continue;
        const std::string nearest = nearestOf(m_knownKeys, key);
        addFinding(key, nearest.empty() ? "unknown key"
                                        : "unknown key; did you mean \"" + nearest + "\"?");
    }
}

const boost::json::value *ObjectReader::find(std::string_view key, Presence presence)
{
    m_knownKeys.emplace_back(key);
    const boost::json::value *found = m_object.if_contains(key);
    if (!found && presence == Presence::Required)
        addFinding(key, "is missing");
    return found;
}

std::string ObjectReader::pathOf(std::string_view key) const
{
    return m_path.empty() ? std::string{key} : m_path + '.' + std::string{key};
}

} // namespace baobabtrail::daemon
