#pragma once

#include "core/control/backoff.h"
#include "core/directory/collection_copy.h"
#include "core/directory/store_retry.h"
#include "core/messages/platform.h"
#include "core/random.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace baobabtrail {

/// \brief Timeouts and intervals of a StoreFeed.
struct StoreFeedSettings
{
    /// Wait of one watch. A store or connection that silently drops it costs this and the call's
    /// timeout: together less than the three seconds after which a change has to be in force. It is
    /// also the age up to which a copy is known to match the store.
    Duration watchWait = 1500ms;
    /// Pause after a watch that returned changes. Changes come in groups (a target that leaves is
    /// written three times); without the pause each would cost a call of its own.
    Duration batchDelay = 300ms;
    Duration firstRetry = 100ms; ///< After a failed call; doubles, with jitter.
    Duration maxRetry = 1s;
    /// A list read this soon after an outage may lack live targets: they register again within two
    /// seconds of the store's return. Half a second more is for propagation.
    Duration returnGrace = 2500ms;
    /// Maximum time between the starts of two calls to a store that fails, of a daemon that usually
    /// gets its copy from others: hundreds of daemons that query an unavailable store cost more
    /// than they find out. Four seconds after the store's return its changes have to be in force;
    /// one second is for the calls that follow the first successful one, and for busy VMs.
    Duration lowRateInterval = 3s;
    /// Pause before such a daemon's first watch after a list: other daemons may provide the copy
    /// from then on. Also before it repeats a list that is older than its copy.
    Duration lowRatePause = 1s;
};

/// \brief Clock, timers and store client of a StoreFeed; tests pass a virtual clock and a fake
/// store.
struct StoreFeedCallbacks
{
    std::function<TimePoint()> now;
    /// Calls back later, never from within the call.
    std::function<void(Duration, std::function<void()>)> after;
    /// Calls the store; the handler is called once, asynchronously.
    std::function<void(const PlatformRequest &, std::function<void(PlatformResult)>)> call;
};

/// \brief How a call to the store ended.
struct StoreCallResult
{
    std::string failure;      ///< Empty on success.
    bool historyGone = false; ///< The store no longer has the changes that a watch asked for.
    /// The call failed between two pages of a list, after at least one page since the last failure.
    bool listing = false;
};

/// \brief Keeps a copy of a collection up to date from the store: lists it once, then watches it.
///
/// In a list with several pages, all but the first may be read from an old replica, seconds old,
/// which is cheap; a watch from the oldest page's version then fetches what they lack before the
/// list is applied. While the store is unavailable, the last copy stays in force.
class StoreFeed
{
public:
    using Changed = std::function<void(const CollectionChange &)>;
    using CallEnded = std::function<void(const StoreCallResult &)>;

    /// \param prefix Prefix of the collection's keys.
    /// \param retry Shared by all feeds of the daemon; has to outlive the feed.
    /// \param changed Called for each change and for the first complete list.
    /// \param callEnded Called at the end of each call to the store.
    StoreFeed(std::string prefix, StoreFeedSettings settings, StoreFeedCallbacks callbacks,
              Random &random, StoreRetry &retry, CollectionCopy &copy, Changed changed,
              CallEnded callEnded);
    StoreFeed(const StoreFeed &) = delete;
    StoreFeed &operator=(const StoreFeed &) = delete;

    /// \brief Starts, or abandons the pending call and restarts: after a stall of the process, a
    /// call may wait on a dead connection.
    /// \param lowRate Shares the retries of failed calls with the other feeds, at longer intervals.
    void start(bool lowRate = false);
    /// \brief Abandons the pending watch and calls the store at once; does nothing while stopped.
    void refresh();
    void stop();
    [[nodiscard]] bool running() const noexcept { return m_running; }

private:
    void list();
    void onPage(TimePoint calledAt, PlatformResult result);
    /// \brief Fetches the changes since the pages of the list.
    void catchUp();
    void onCaughtUp(TimePoint calledAt, PlatformResult result);
    /// \brief Restarts the list with consistent reads for all pages.
    void listConsistent();
    void applyList(TimePoint calledAt);
    void watch();
    void onWatch(TimePoint calledAt, PlatformResult result);
    void onFailure(TimePoint calledAt, const PlatformResult &result, Backoff &backoff,
                   void (StoreFeed::*step)());
    void onSuccess();
    void schedule(Duration wait, void (StoreFeed::*step)());
    void call(const PlatformRequest &request, void (StoreFeed::*done)(TimePoint, PlatformResult));
    [[nodiscard]] bool storeReturnedRecently() const;

    std::string m_prefix;
    StoreFeedSettings m_settings;
    StoreFeedCallbacks m_callbacks;
    Random &m_random;
    StoreRetry &m_retry;
    CollectionCopy &m_copy;
    Changed m_changed;
    CallEnded m_callEnded;
    Backoff m_backoff;
    Backoff m_pageBackoff; ///< Between retries of one page, after the first page arrived.

    std::vector<StoredObject> m_pages; ///< Of the pending list.
    ObjectVersion m_pagesVersion;      ///< Version of the oldest page.
    bool m_pagesMayBeOld = false;      ///< The last page may come from an old replica.
    bool m_consistent = false;         ///< The pending list uses consistent reads only.
    bool m_lowRate = false;            ///< This daemon usually gets its copy from others.
    bool m_confirmOnly = false;        ///< The next watch only confirms the copy, and ends at once.
    bool m_pageReceived = false;       ///< Since the last failure.
    bool m_running = false;
    /// Incremented to invalidate pending callbacks.
    std::shared_ptr<std::uint64_t> m_generation = std::make_shared<std::uint64_t>(0);
};

} // namespace baobabtrail
