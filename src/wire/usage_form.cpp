#include "wire/usage_form.h"

#include "wire/usage.pb.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <vector>

namespace baobabtrail::wire {

namespace {

/// Numbers are sent in hundredths: small ones, of which there are most, take one or two bytes.
constexpr double Unit = 0.01;
/// Of one part: 3 places in lists, the priority, and 4 numbers; 3 that earlier releases used.
constexpr int NumbersPerPart = 11;
constexpr int UnusedNumbers = 3;
/// A datagram of the maximum size can't hold more.
constexpr std::size_t MaxParts = MaxUsageBytes / NumbersPerPart;
constexpr std::size_t MaxNameBytes = 128;

using Part = UsageTable::const_iterator;

[[nodiscard]] std::uint32_t toUnits(double value) noexcept
{
    constexpr double most = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp(std::round(value / Unit), 0.0, most));
}

/// \brief Lists of the values that parts refer to by their places.
class Places
{
public:
    explicit Places(pb::UsageReport &out)
        : m_out(out)
    {
    }

    [[nodiscard]] std::uint32_t of(ServiceId service)
    {
        const auto [found, isNew] = m_services.try_emplace(service, m_out.services_size());
        if (isNew)
            m_out.add_services(service.value());
        return static_cast<std::uint32_t>(found->second);
    }
    [[nodiscard]] std::uint32_t of(const std::string &domain)
    {
        const auto [found, isNew] = m_domains.try_emplace(domain, m_out.domains_size());
        if (isNew)
            m_out.add_domains(domain);
        return static_cast<std::uint32_t>(found->second);
    }

private:
    pb::UsageReport &m_out;
    std::map<ServiceId, int> m_services;
    std::map<std::string, int> m_domains;
};

/// \return The parts, the largest first.
[[nodiscard]] std::vector<Part> sortedParts(const UsageTable &table)
{
    std::vector<Part> out;
    for (auto part = table.begin(); part != table.end(); ++part)
        out.push_back(part);
    std::stable_sort(out.begin(), out.end(), [](const Part &a, const Part &b) {
        return a->second.inFlight() > b->second.inFlight();
    });
    return out;
}

[[nodiscard]] pb::UsageReport withoutParts(const UsageMessage &message)
{
    const auto milliseconds = [](Duration duration) {
        return static_cast<std::uint64_t>(std::max(duration, Duration{0}) / 1ms);
    };
    pb::UsageReport out;
    out.set_scope(message.scope == UsageScope::Total ? 1 : 0);
    out.set_incarnation(message.incarnation);
    out.set_sequence(message.sequence);
    out.set_height(message.height);
    out.set_daemons(message.daemons);
    out.set_age_ms(milliseconds(message.age));
    out.set_interval_ms(milliseconds(message.interval));
    out.set_busy(message.busy);
    return out;
}

[[nodiscard]] std::string encode(const UsageMessage &message, const std::vector<Part> &parts)
{
    pb::UsageReport out = withoutParts(message);
    Places places{out};
    for (const Part &part : parts) {
        const auto &[key, usage] = *part;
        out.add_parts(places.of(key.service));
        out.add_parts(places.of(key.callers));
        out.add_parts(places.of(key.targets));
        out.add_parts(key.priority);
        out.add_parts(toUnits(usage.movable));
        out.add_parts(toUnits(usage.pinned));
        out.add_parts(toUnits(usage.answers));
        out.add_parts(toUnits(usage.answerSeconds));
        for (int unused = 0; unused < UnusedNumbers; ++unused)
            out.add_parts(0);
    }
    return out.SerializeAsString();
}

/// \return Whether all numbers but those of the parts are in their bounds.
[[nodiscard]] bool isValid(const pb::UsageReport &in)
{
    constexpr std::uint64_t mostMilliseconds = Duration{1h} / 1ms;
    if (in.scope() > 1 || in.age_ms() > mostMilliseconds || in.interval_ms() > mostMilliseconds)
        return false;
    const auto isTooLong = [](const std::string &name) { return name.size() > MaxNameBytes; };
    if (std::any_of(in.domains().begin(), in.domains().end(), isTooLong))
        return false;
    return in.parts_size() % NumbersPerPart == 0
           && static_cast<std::size_t>(in.parts_size() / NumbersPerPart) <= MaxParts;
}

/// \return Whether the part was read; false if its places are invalid or it comes twice.
[[nodiscard]] bool readPart(const pb::UsageReport &in, int begin, UsageTable &out)
{
    const auto number = [&](int index) { return in.parts(begin + index); };
    const auto value = [&](int index) { return number(index) * Unit; };
    const auto services = static_cast<std::uint32_t>(in.services_size());
    const auto domains = static_cast<std::uint32_t>(in.domains_size());
    if (number(0) >= services || number(1) >= domains || number(2) >= domains
        || number(3) > RequestPolicy::LowestPriority)
        return false;
    const auto domain = [&](int index) { return in.domains(static_cast<int>(number(index))); };
    const ServiceId service{in.services(static_cast<int>(number(0)))};
    return out
        .try_emplace({service, domain(1), domain(2), number(3)},
                     Usage{value(4), value(5), value(6), value(7)})
        .second;
}

} // namespace

std::string encodeUsage(const UsageMessage &message)
{
    std::vector<Part> parts = sortedParts(message.usage);
    parts.resize(std::min(parts.size(), MaxParts));
    std::string out = encode(message, parts);
    while (out.size() > MaxUsageBytes && !parts.empty()) {
        // Each time by as much as the parts are too long on average, and at least by one.
        const std::size_t fit = parts.size() * MaxUsageBytes / out.size();
        parts.resize(std::min(fit, parts.size() - 1));
        out = encode(message, parts);
    }
    return out;
}

std::optional<UsageMessage> decodeUsage(std::string_view bytes)
{
    pb::UsageReport in;
    if (bytes.size() > MaxUsageBytes
        || !in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || !isValid(in))
        return std::nullopt;
    UsageMessage message;
    message.scope = in.scope() == 1 ? UsageScope::Total : UsageScope::Subtree;
    message.incarnation = in.incarnation();
    message.sequence = in.sequence();
    message.height = in.height();
    message.daemons = in.daemons();
    message.age = std::chrono::milliseconds{in.age_ms()};
    message.interval = std::chrono::milliseconds{in.interval_ms()};
    message.busy = in.busy();
    for (int begin = 0; begin < in.parts_size(); begin += NumbersPerPart) {
        if (!readPart(in, begin, message.usage))
            return std::nullopt;
    }
    return message;
}

} // namespace baobabtrail::wire
