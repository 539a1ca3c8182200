#pragma once

#include "core/endpoint.h"
#include "core/usage/usage_message.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace baobabtrail {

/// \brief Intervals and bounds of a UsageExchange.
struct UsageExchangeSettings
{
    bool enabled = true;
    Duration busyInterval = 250ms; ///< Between two reports while a failure domain is busy.
    Duration calmInterval = 2s;    ///< The same while none is.
    /// Requests in flight per slot in a failure domain at which it is busy.
    double busyAt = 0.5;
    /// A report that is older than this many of its intervals counts no longer.
    std::uint32_t missedReports = 3;
    std::uint32_t maxHeight = 12; ///< Reports of higher subtrees come round in a circle.
    std::size_t maxParts = 60;    ///< Parts in one message, the largest ones; fits in a datagram.
};

/// \brief Clock, timers, transport and event handlers of a UsageExchange.
struct UsageExchangeCallbacks
{
    std::function<TimePoint()> now;
    std::function<void(Duration, std::function<void()>)> after;
    std::function<void(const Endpoint &peer, const UsageMessage &message)> send;
    /// This daemon's own usage since the last call.
    std::function<UsageTable()> take;
    /// Whether the usage is such that reports should come at the busy interval.
    std::function<bool(const UsageTable &)> isBusy;
    /// Called with each new view, and with null where it has become too old.
    std::function<void(const UsageView *)> changed;
};

/// \brief A daemon's place in the tree by which the directory is distributed.
struct UsageRoute
{
    bool isRoot = false;
    Endpoint source;             ///< Reports go there; null for nowhere. Unused by a root.
    std::vector<Endpoint> roots; ///< Roots tell each other; without this daemon.
};

/// \brief Sums the usage of all daemons along the tree that distributes the directory.
///
/// Each daemon reports the usage of its subtree to its source; roots exchange theirs, and the total
/// goes down the same way as soon as it changes. Nothing has to be agreed on: a report ends by its
/// age, so a daemon that died, moved to another source or restarted is counted twice or not at all
/// for a few intervals only.
class UsageExchange
{
public:
    UsageExchange(UsageExchangeSettings settings, UsageExchangeCallbacks callbacks,
                  std::uint64_t incarnation);
    UsageExchange(const UsageExchange &) = delete;
    UsageExchange &operator=(const UsageExchange &) = delete;

    void start();
    /// \brief Sets this daemon's place in the tree; to be called for each change.
    void setRoute(UsageRoute route);
    void handle(const Endpoint &from, const UsageMessage &message);

    /// \return The usage of all daemons; null where it is unknown or too old.
    [[nodiscard]] const UsageView *view() const noexcept { return m_view ? &*m_view : nullptr; }

private:
    UsageExchangeSettings m_settings;
    UsageExchangeCallbacks m_callbacks;
    std::uint64_t m_incarnation;
    UsageRoute m_route;
    std::optional<UsageView> m_view;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace baobabtrail
