#pragma once

#include "core/control/backoff.h"
#include "core/directory/collection_copy.h"
#include "core/messages/platform.h"
#include "core/random.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace baobabtrail {

/// \brief Times of a StoreFeed.
struct StoreFeedSettings
{
    /// One watch. A store or a connection that ignores it silently costs this long and the call's
    /// timeout on top: together less than the three seconds after which a change has to be in
    /// force. It is also the age up to which a copy is known to be the store's state.
    Duration watchWait = 1500ms;
    /// Pause after a watch that brought changes. Changes come in groups (a target that leaves is
    /// written three times); a watch for each would cost a call for each.
    Duration batchDelay = 300ms;
    Duration firstRetry = 100ms; ///< After a failed call; doubles, with jitter.
    Duration maxRetry = 1s;
    /// A list that comes this soon after an outage may lack targets that live: they register again
    /// within two seconds of the store's return. Half a second more for their way here.
    Duration returnGrace = 2500ms;
    /// A daemon that has its copy from others asks the store seldom, when both fail: hundreds that
    /// ask a store which is away cost more than they find out.
    Duration firstLowRateRetry = 2s;
    /// Its first watch after a list waits so long: others may answer for the copy from then on.
    Duration lowRatePause = 1s;
    Duration maxLowRateRetry = 8s;
};

/// \brief What a feed needs of its surroundings; tests pass a virtual clock and a store of theirs.
struct StoreFeedCallbacks
{
    std::function<TimePoint()> now;
    /// Calls back later, never from within the call.
    std::function<void(Duration, std::function<void()>)> after;
    /// Calls the store; the handler is called once, later.
    std::function<void(const PlatformRequest &, std::function<void(PlatformResult)>)> call;
};

/// \brief How a call of a feed ended.
struct StoreCallResult
{
    std::string failure;      ///< Empty for a success.
    bool historyGone = false; ///< The store no longer has the changes that a watch waited for.
    bool listing = false;     ///< A failure between pages of a list, of which one came just before.
};

/// \brief Keeps a copy of a collection up to date from the store: lists it once, then watches.
///
/// Of a list with several pages all but the first may be seconds old, which is cheap; a watch from
/// the oldest page's version then brings what they lack, before the list is taken. When the store
/// is away the last copy stays in force.
class StoreFeed
{
public:
    using Changed = std::function<void(const CollectionChange &)>;
    using Contact = std::function<void(const StoreCallResult &)>;

    /// \param prefix Prefix of the collection's keys. \param changed Called for each change and for
    /// the first complete list. \param contact Told of each end of a call.
    StoreFeed(std::string prefix, StoreFeedSettings settings, StoreFeedCallbacks callbacks,
              Random &random, CollectionCopy &copy, Changed changed, Contact contact);
    StoreFeed(const StoreFeed &) = delete;
    StoreFeed &operator=(const StoreFeed &) = delete;

    /// \brief Starts, or gives up what is under way and asks anew: after the process stood still, a
    /// call may wait on a connection that nobody answers any more.
    /// \param lowRate Failed calls are repeated after longer times.
    void start(bool lowRate = false);
    /// \brief Gives up the watch that waits and asks at once; does nothing where none is running.
    void refresh();
    void stop();
    [[nodiscard]] bool running() const noexcept { return m_running; }

private:
    void list();
    void onPage(TimePoint asked, PlatformResult result);
    /// \brief Asks for what changed since the pages of the list.
    void catchUp();
    void onCaughtUp(TimePoint asked, PlatformResult result);
    /// \brief Begins anew with pages that are not old.
    void listConsistent();
    void applyList(TimePoint asked);
    void watch();
    void onWatch(TimePoint asked, PlatformResult result);
    void onFailure(const PlatformResult &result, Backoff &backoff, void (StoreFeed::*again)());
    void onSuccess();
    void schedule(Duration wait, void (StoreFeed::*step)());
    void call(const PlatformRequest &request, void (StoreFeed::*done)(TimePoint, PlatformResult));
    [[nodiscard]] bool storeReturnedRecently() const;

    std::string m_prefix;
    StoreFeedSettings m_settings;
    StoreFeedCallbacks m_callbacks;
    Random &m_random;
    CollectionCopy &m_copy;
    Changed m_changed;
    Contact m_contact;
    Backoff m_backoff;
    Backoff m_pageBackoff; ///< Between tries of one page, where those before it came.

    std::vector<StoredObject> m_pages; ///< Of the list that is under way.
    ObjectVersion m_pagesVersion;      ///< Of its oldest page.
    bool m_pagesMayBeOld = false;      ///< One of them.
    bool m_consistent = false;         ///< No page of this list may be old.
    bool m_lowRate = false;            ///< This daemon has its copy from others as a rule.
    bool m_confirmOnly = false;        ///< The next watch only confirms the copy.
    bool m_pageReceived = false;       ///< Since the last failure.
    bool m_running = false;
    std::shared_ptr<std::uint64_t> m_generation = std::make_shared<std::uint64_t>(0);
};

} // namespace baobabtrail
