#include "core/config/log_keys.h"

#include <charconv>

namespace baobabtrail {

namespace {

constexpr std::size_t RevisionDigits = 20;
constexpr std::size_t ShardDigits = 4;
constexpr std::string_view ManifestName = "manifest";

[[nodiscard]] std::string padded(std::uint64_t number, std::size_t digits)
{
    std::string text = std::to_string(number);
    if (text.size() < digits)
        text.insert(0, digits - text.size(), '0');
    return text;
}

[[nodiscard]] std::optional<std::uint64_t> parseNumber(std::string_view text, std::size_t digits)
{
    if (text.size() != digits)
        return std::nullopt;
    std::uint64_t number = 0;
    const char *end = text.data() + text.size();
    const auto [parsed, status] = std::from_chars(text.data(), end, number);
    if (status != std::errc{} || parsed != end)
        return std::nullopt;
    return number;
}

} // namespace

std::string logKey(Revision revision)
{
    return std::string{LogPrefix} + padded(revision.value(), RevisionDigits);
}

std::optional<Revision> parseLogKey(std::string_view key)
{
    if (!key.starts_with(LogPrefix))
        return std::nullopt;
    const auto number = parseNumber(key.substr(LogPrefix.size()), RevisionDigits);
    if (!number)
        return std::nullopt;
    return Revision{*number};
}

std::string shardKey(Revision revision, std::size_t shard)
{
    return std::string{SnapshotPrefix} + padded(revision.value(), RevisionDigits) + '/'
           + padded(shard, ShardDigits);
}

std::string manifestKey(Revision revision)
{
    return std::string{SnapshotPrefix} + padded(revision.value(), RevisionDigits) + '/'
           + std::string{ManifestName};
}

std::optional<SnapshotKey> parseSnapshotKey(std::string_view key)
{
    if (!key.starts_with(SnapshotPrefix))
        return std::nullopt;
    key.remove_prefix(SnapshotPrefix.size());
    const auto slash = key.find('/');
    if (slash == std::string_view::npos)
        return std::nullopt;

    const auto revision = parseNumber(key.substr(0, slash), RevisionDigits);
    if (!revision)
        return std::nullopt;
    const std::string_view name = key.substr(slash + 1);
    if (name == ManifestName)
        return SnapshotKey{Revision{*revision}, std::nullopt};
    const auto shard = parseNumber(name, ShardDigits);
    if (!shard)
        return std::nullopt;
    return SnapshotKey{Revision{*revision}, static_cast<std::size_t>(*shard)};
}

} // namespace baobabtrail
