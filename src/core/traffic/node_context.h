#pragma once

#include "core/config/config.h"
#include "core/keys.h"
#include "core/membership/view.h"
#include "core/random.h"
#include "core/targets/target_table.h"
#include "core/traffic/actions.h"
#include "core/traffic/settings.h"

#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>
#include <memory>
#include <optional>
#include <type_traits>
#include <unordered_map>
#include <utility>

namespace baobabtrail {

/// \brief The state that the parts of a TrafficNode share.
struct NodeContext
{
    NodeContext(NodeIdentity identity, TrafficSettings settings,
                std::shared_ptr<const KeyRing> keys, std::uint64_t seed);

    NodeIdentity identity;
    TrafficSettings settings;
    std::shared_ptr<const KeyRing> keys;
    Random random;
    TargetTable targets;
    ConfigPtr config; ///< Never null.
    ViewPtr view;     ///< Never null.
    bool stopping = false;
    std::uint64_t workspaceWeights = 0; ///< Sum of the workspaces' shares.
    std::unordered_map<TargetId, const TargetConfig *> targetIndex; ///< Points into config.

    /// Former members of the view; bounded.
    std::unordered_map<DaemonId, Incarnation> departed;

    /// \brief Applies a view, and adds members that left it to \a departed.
    void setView(ViewPtr newest);
    /// \return Whether this incarnation of the daemon has ended as far as is known here: it is
    /// dead, left the view, or was restarted.
    [[nodiscard]] bool isGone(DaemonId daemon, Incarnation incarnation) const noexcept;
    /// \brief Applies a configuration, which must not be older than the one in force.
    void setConfig(ConfigPtr newest);
    /// \return The configuration of the target, of any service, or null.
    [[nodiscard]] const TargetConfig *target(TargetId id) const noexcept
    {
        const auto found = targetIndex.find(id);
        return found == targetIndex.end() ? nullptr : found->second;
    }
    /// \return A random time between half of \a mean and one and a half of it, so that callers that
    /// were refused together don't retry together.
    [[nodiscard]] Duration jittered(Duration mean)
    {
        using Draw = boost::random::uniform_int_distribution<Duration::rep>;
        return Duration{Draw{mean.count() / 2, mean.count() + mean.count() / 2}(random)};
    }

    /// \return Whether a configuration has been received. A daemon that has just started knows no
    /// service: to refuse a flow or request as of an unknown service would end it, although every
    /// other daemon could place it. Without an answer the caller retransmits, and the fabric
    /// delivers that to another daemon.
    [[nodiscard]] bool configured() const noexcept { return !config->revision.isNull(); }

    /// \return Whether the configuration has the service.
    [[nodiscard]] bool hasService(ServiceId service) const noexcept
    {
        return config->service(service) != nullptr;
    }
};

/// \brief One turn of the event loop: the time at which an event is handled, and the actions that
/// it causes.
struct Turn
{
    TimePoint now;
    TrafficActions &out;

    template <typename Action>
    void add(Action &&action)
    {
        out.emplace_back(std::in_place_type<std::decay_t<Action>>, std::forward<Action>(action));
    }
    void sendToCaller(const Endpoint &caller, FlowMessage message);
    void sendToCaller(const Endpoint &caller, RequestMessage message);
    void sendToPeer(const Endpoint &peer, PeerMessage message);
    void sendOnLink(TargetId target, Generation generation, LinkMessage message);
    void observe(const Observation &observation);
};

/// \brief Time after which a refused caller should retry, where no queue predicts a better one.
inline constexpr Duration DefaultRetryAfter = 200ms;

/// Load of a target that must not be chosen again; larger than any reported load.
inline constexpr float WorstLoad = 1e9F;

/// \return The earlier of two times; nothing counts as later than any time.
[[nodiscard]] inline std::optional<TimePoint> earlier(std::optional<TimePoint> a,
                                                      std::optional<TimePoint> b) noexcept
{
    if (!a)
        return b;
    if (!b)
        return a;
    return std::min(*a, *b);
}

} // namespace baobabtrail
