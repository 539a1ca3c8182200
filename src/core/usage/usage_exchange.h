#pragma once

#include "core/endpoint.h"
#include "core/usage/message_guard.h"
#include "core/usage/received_reports.h"
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
    /// Requests in flight for each daemon of a report; a report of more is not credible.
    double maxInFlight = 10'000;
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

/// \brief A daemon next to this one in the tree.
struct TreeNeighbour
{
    Endpoint address;
    std::uint64_t incarnation = 0; ///< Differs after a restart of a follower; 0 for others.

    friend auto operator<=>(const TreeNeighbour &, const TreeNeighbour &) noexcept = default;
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
    /// \brief Messages of a UsageExchange since its start.
    struct Counts
    {
        std::uint64_t sent = 0;
        std::uint64_t received = 0; ///< That were used.
        std::uint64_t refused = 0;  ///< Old, repeated, from the wrong daemon, or not credible.
    };

    UsageExchange(UsageExchangeSettings settings, UsageExchangeCallbacks callbacks,
                  std::uint64_t incarnation);
    UsageExchange(const UsageExchange &) = delete;
    UsageExchange &operator=(const UsageExchange &) = delete;

    void start();
    /// \brief Sets this daemon's place in the tree; to be called for each change.
    void setRoute(UsageRoute route);
    /// \param receivedAt When it reached this VM. The message may have waited since: it counts as
    /// old as it is by now.
    void handle(const Endpoint &from, const UsageMessage &message, TimePoint receivedAt);
    /// \brief The process stalled: drops the view and all reports, which say nothing of the
    /// present, and what was measured across the stall.
    void reset();

    /// \return The usage of all daemons; null where it is unknown or too old.
    [[nodiscard]] const UsageView *view() const noexcept { return m_view ? &*m_view : nullptr; }
    [[nodiscard]] const Counts &counts() const noexcept { return m_counts; }
    /// \return The daemons next to this one in the tree.
    [[nodiscard]] std::vector<TreeNeighbour> neighbours() const;
    /// \return Time between two reports at present.
    [[nodiscard]] Duration interval() const noexcept;

private:
    /// \brief A sum of reports, as it is sent on.
    struct Sum
    {
        UsageView view;
        std::uint32_t height = 1;
        bool busy = false;
        Duration interval{0}; ///< Until the next one.
    };

    /// \brief When to report: times after the last report.
    struct Timing
    {
        Duration earliest{0};
        Duration usual{0};  ///< Also after a total has come, without followers.
        Duration latest{0}; ///< Where reports of followers are missing.
    };

    void pollPeriodically();
    void poll();
    void measure();
    void expire();
    [[nodiscard]] Timing timing() const noexcept;
    void schedule();
    void report();
    [[nodiscard]] Sum takeSubtree();
    void add(Sum &sum, const ReceivedReport &report) const;
    [[nodiscard]] bool isCredible(const UsageMessage &message) const;
    [[nodiscard]] bool accept(const Endpoint &from, const UsageMessage &message,
                              TimePoint receivedAt);
    [[nodiscard]] bool acceptTotal(const Endpoint &from, const UsageMessage &message,
                                   TimePoint receivedAt);
    [[nodiscard]] bool acceptSubtree(const Endpoint &from, const UsageMessage &message,
                                     TimePoint receivedAt);
    [[nodiscard]] bool isOtherRoot(const Endpoint &daemon) const;
    [[nodiscard]] Duration lifetimeOf(Duration interval) const;
    void reportTotal(const Sum &subtree);
    /// \param knownAt When the total reached this VM, or was summed here.
    void publish(const Sum &total, TimePoint knownAt);
    void dropView();
    [[nodiscard]] UsageMessage makeMessage(UsageScope scope, const Sum &sum) const;
    void send(const Endpoint &to, UsageMessage message);

    UsageExchangeSettings m_settings;
    UsageExchangeCallbacks m_callbacks;
    std::uint64_t m_incarnation;
    std::uint64_t m_sequence = 0;
    UsageRoute m_route;
    MessageGuard m_guard;
    ReceivedReports m_children; ///< Of followers, and of daemons that were until lately.
    ReceivedReports m_siblings; ///< Of the other roots, at a root.
    UsageTable m_measured;      ///< Integral since the last report.
    double m_measuredSeconds = 0;
    UsageTable m_own;         ///< Average over the time before the last report.
    TimePoint m_ownAt{};      ///< Until when usage was measured.
    bool m_ownIsBusy = false; ///< By the last interval alone.
    bool m_subtreeIsBusy = false;
    bool m_totalIsBusy = false;
    TimePoint m_reportedAt{};
    Duration m_promised{0}; ///< Interval stated by the last report, which ends by it.
    std::optional<UsageView> m_view;
    TimePoint m_totalAt{}; ///< When the source's last total came.
    TimePoint m_viewEndsAt{};
    std::uint64_t m_timer = 0; ///< Incremented to invalidate the pending one.
    Counts m_counts;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace baobabtrail
