#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>

namespace baobabtrail {

/// \brief A strongly typed integer id: ids of different kinds don't convert to each other.
///
/// \code
/// ServiceId lending{7};
/// if (lending == ServiceId{7}) { ... }
/// \endcode
template <typename Tag, typename Value = std::uint64_t>
class StrongId
{
public:
    constexpr StrongId() noexcept = default;
    constexpr explicit StrongId(Value value) noexcept
        : m_value(value)
    {
    }

    [[nodiscard]] constexpr Value value() const noexcept { return m_value; }
    [[nodiscard]] constexpr bool isNull() const noexcept { return m_value == Value{}; }

    friend constexpr auto operator<=>(StrongId, StrongId) noexcept = default;

    friend std::ostream &operator<<(std::ostream &out, StrongId id) { return out << id.m_value; }

    friend std::size_t hash_value(StrongId id) noexcept { return std::hash<Value>{}(id.m_value); }

private:
    Value m_value{};
};

/// Hash of "workspace/service"; see serviceId().
using ServiceId = StrongId<struct ServiceIdTag>;
/// Hash of "workspace/service/target"; see targetId().
using TargetId = StrongId<struct TargetIdTag>;
/// The revision that added a target; tells apart targets that had the same name in succession.
using Generation = StrongId<struct GenerationTag>;
/// Position in the configuration log; 0 is the empty configuration.
using Revision = StrongId<struct RevisionTag>;
/// Set in the VM's settings; unique among live daemons.
using DaemonId = StrongId<struct DaemonIdTag>;
/// Chosen at each start of a daemon; increases with each start of the daemon on the same VM.
using Incarnation = StrongId<struct IncarnationTag>;
/// Chosen at random by the caller.
using FlowId = StrongId<struct FlowIdTag>;
/// Number of a cluster key; the keys themselves are derived from the cluster secret.
using KeyEpoch = StrongId<struct KeyEpochTag, std::uint32_t>;

/// \brief Identifies a request; 128 bits chosen at random by the caller, so that collisions are
/// negligible.
struct RequestId
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    friend constexpr auto operator<=>(const RequestId &, const RequestId &) noexcept = default;
    friend std::size_t hash_value(const RequestId &id) noexcept
    {
        return std::hash<std::uint64_t>{}(id.high * 0x9E3779B97F4A7C15ULL ^ id.low);
    }
};

std::ostream &operator<<(std::ostream &out, const RequestId &id);

/// \brief Id of a service. Computed from its name, so all daemons agree without communicating.
/// \param workspace Name of the workspace.
/// \param service Name of the service within the workspace.
/// \return The 64-bit hash of "workspace/service".
[[nodiscard]] ServiceId serviceId(std::string_view workspace, std::string_view service);

/// \brief Id of a target. Computed from its name, so all daemons agree without communicating.
/// \param service Id of the target's service.
/// \param target Name of the target within the service.
/// \return The 64-bit hash of both.
[[nodiscard]] TargetId targetId(ServiceId service, std::string_view target);

} // namespace baobabtrail

template <typename Tag, typename Value>
struct std::hash<baobabtrail::StrongId<Tag, Value>>
{
    std::size_t operator()(baobabtrail::StrongId<Tag, Value> id) const noexcept
    {
        return hash_value(id);
    }
};

template <>
struct std::hash<baobabtrail::RequestId>
{
    std::size_t operator()(const baobabtrail::RequestId &id) const noexcept
    {
        return hash_value(id);
    }
};
