#include "core/directory/store_feed.h"

#include <algorithm>
#include <utility>

namespace baobabtrail {

namespace {

/// Page size of a list; about the store's own limit.
constexpr std::uint32_t PageObjects = 500;
/// A watch that returns without a change sooner than this is not repeated at once: the store may
/// answer every watch like that, and calls are priced.
constexpr Duration MinWatch = 200ms;
/// The answer of a watch may be as large as this, a fraction of a second over the thinnest link,
/// plus this many times the copy's values, about the size of a list with the store's metadata.
constexpr std::uint64_t WatchBaseBytes = 64 << 10;
constexpr std::uint64_t WatchSizeFactor = 2;
/// Wait of a watch that completes a list or confirms a copy: the shortest that the store accepts.
constexpr Duration ConfirmWait = 1ms;

/// \brief Applies the changes of a watch to the listed objects.
void apply(const ObjectList &news, std::vector<StoredObject> &listed)
{
    const auto known = [&](const StoredObject &object) {
        const auto same = [&](const StoredObject &each) { return each.key == object.key; };
        return std::any_of(news.objects.begin(), news.objects.end(), same)
               || std::find(news.removed.begin(), news.removed.end(), object.key)
                      != news.removed.end();
    };
    std::erase_if(listed, known);
    listed.insert(listed.end(), news.objects.begin(), news.objects.end());
}

} // namespace

StoreFeed::StoreFeed(std::string prefix, StoreFeedSettings settings, StoreFeedCallbacks callbacks,
                     Random &random, StoreRetry &retry, CollectionCopy &copy, Changed changed,
                     CallEnded callEnded)
    : m_prefix(std::move(prefix))
    , m_settings(settings)
    , m_callbacks(std::move(callbacks))
    , m_random(random)
    , m_retry(retry)
    , m_copy(copy)
    , m_changed(std::move(changed))
    , m_callEnded(std::move(callEnded))
    , m_backoff(settings.firstRetry, settings.maxRetry)
    , m_pageBackoff(settings.firstRetry, settings.maxRetry)
{
}

void StoreFeed::start(bool lowRate)
{
    stop();
    m_backoff.reset();
    m_pageBackoff.reset();
    m_pageReceived = false;
    m_running = true;
    m_lowRate = lowRate;
    m_confirmOnly = true;
    // Not called before, so it may have been unavailable unnoticed.
    m_copy.storeFailed(m_callbacks.now());
    if (m_copy.complete())
        watch();
    else
        list();
}

void StoreFeed::refresh()
{
    if (m_running)
        start(m_lowRate);
}

void StoreFeed::stop()
{
    ++*m_generation;
    m_retry.remove(this);
    m_pages.clear();
    m_consistent = false;
    m_running = false;
}

void StoreFeed::schedule(Duration wait, void (StoreFeed::*step)())
{
    m_callbacks.after(
        wait, [this, step, generation = std::weak_ptr{m_generation}, expected = *m_generation] {
            const auto current = generation.lock();
            if (current && *current == expected)
                (this->*step)();
        });
}

void StoreFeed::call(const PlatformRequest &request,
                     void (StoreFeed::*done)(TimePoint, PlatformResult))
{
    m_callbacks.call(request, [this, done, calledAt = m_callbacks.now(),
                               generation = std::weak_ptr{m_generation},
                               expected = *m_generation](PlatformResult result) {
        const auto current = generation.lock();
        if (current && *current == expected)
            (this->*done)(calledAt, std::move(result));
    });
}

// The first page is always a consistent read: most collections have no other page, and then need no
// watch to be up to date.
void StoreFeed::list()
{
    ListObjects request{m_prefix, m_pages.empty() ? m_prefix : m_pages.back().key, PageObjects};
    request.allowStale = !m_pages.empty() && !m_consistent;
    m_pagesMayBeOld = request.allowStale;
    call(request, &StoreFeed::onPage);
}

void StoreFeed::onPage(TimePoint calledAt, PlatformResult result)
{
    auto *page = std::get_if<ObjectList>(&result);
    if (!page) {
        // The pages received so far are retained: over a saturated link one of many is late each
        // time, and a list that restarted would never complete.
        onFailure(calledAt, result, m_pages.empty() ? m_backoff : m_pageBackoff, &StoreFeed::list);
        return;
    }
    m_pageReceived = true;
    m_pageBackoff.reset();
    // Changes made while the pages are read come with the watch, which begins at the oldest page.
    m_pagesVersion = m_pages.empty() ? page->latest : std::min(m_pagesVersion, page->latest);
    std::move(page->objects.begin(), page->objects.end(), std::back_inserter(m_pages));
    if (page->more && !page->objects.empty()) {
        list();
        return;
    }
    if (m_pagesMayBeOld)
        catchUp();
    else
        applyList(calledAt);
}

void StoreFeed::catchUp()
{
    call(WatchObjects{m_prefix, m_pagesVersion, ConfirmWait}, &StoreFeed::onCaughtUp);
}

void StoreFeed::onCaughtUp(TimePoint calledAt, PlatformResult result)
{
    if (std::holds_alternative<HistoryCompacted>(result)) {
        listConsistent();
        return;
    }
    const auto *news = std::get_if<ObjectList>(&result);
    if (!news) {
        onFailure(calledAt, result, m_pageBackoff, &StoreFeed::catchUp);
        return;
    }
    apply(*news, m_pages);
    m_pagesVersion = news->latest;
    applyList(calledAt);
}

void StoreFeed::listConsistent()
{
    m_pages.clear();
    m_consistent = true;
    list();
}

void StoreFeed::applyList(TimePoint calledAt)
{
    onSuccess();
    std::vector<StoredObject> listed = std::exchange(m_pages, {});
    m_consistent = false;
    if (m_pagesVersion < m_copy.version()) {
        // A peer was faster, or the answer is older than the copy.
        m_callEnded(StoreCallResult{});
        schedule(m_backoff.next(m_random, m_lowRate ? m_settings.lowRatePause : Duration{0}),
                 &StoreFeed::list);
        return;
    }
    m_confirmOnly = false;
    if (const auto change
        = m_copy.applySnapshot(std::move(listed), m_pagesVersion, storeReturnedRecently()))
        m_changed(*change);
    m_copy.confirm(calledAt);
    m_callEnded(StoreCallResult{});
    if (m_lowRate)
        schedule(m_settings.lowRatePause, &StoreFeed::watch);
    else
        watch();
}

// A watch returns each version of an object, and over a thin link more versions may be written
// while an answer is transferred than it contains, so that the copy never catches up. A list has
// only the newest version of each object, so it is used where a watch would return more. The first
// watch ends at once: followers wait for the confirmation of the copy.
void StoreFeed::watch()
{
    const std::uint64_t most = WatchBaseBytes + WatchSizeFactor * m_copy.bytes();
    const Duration wait = m_confirmOnly ? ConfirmWait : m_settings.watchWait;
    call(WatchObjects{m_prefix, m_copy.version(), wait, most}, &StoreFeed::onWatch);
}

void StoreFeed::onWatch(TimePoint calledAt, PlatformResult result)
{
    if (std::holds_alternative<HistoryCompacted>(result)) {
        m_callEnded({{}, true});
        m_pages.clear();
        list();
        return;
    }
    if (std::holds_alternative<WatchAnswerTooLarge>(result)) {
        onSuccess();
        m_pages.clear();
        schedule(m_settings.batchDelay, &StoreFeed::list);
        return;
    }
    auto *list = std::get_if<ObjectList>(&result);
    if (!list) {
        onFailure(calledAt, result, m_backoff, &StoreFeed::watch);
        return;
    }
    onSuccess();
    // Overtaken by another daemon's news. A removal in it may be undone by now, and nobody would
    // send the object again to a copy of the newer version; a write in it may be of an object that
    // is gone. The next watch, from the copy's own version, brings what is still missing.
    if (list->latest < m_copy.version()) {
        m_callEnded(StoreCallResult{});
        schedule(m_settings.batchDelay, &StoreFeed::watch);
        return;
    }
    const Duration asked = m_confirmOnly ? ConfirmWait : m_settings.watchWait;
    const bool confirmed = std::exchange(m_confirmOnly, false);
    const bool changed = !list->objects.empty() || !list->removed.empty();
    if (const auto change = m_copy.applyChanges({std::move(list->objects), std::move(list->removed),
                                                 list->latest, storeReturnedRecently()}))
        m_changed(*change);
    // The store ended the wait then at the latest, however long its answer was on its way.
    m_copy.confirm(std::min(m_callbacks.now(), calledAt + asked));
    m_callEnded(StoreCallResult{});
    const bool tooShort = !confirmed && m_callbacks.now() - calledAt < MinWatch;
    if (changed || tooShort)
        schedule(m_settings.batchDelay, &StoreFeed::watch);
    else
        watch();
}

// The next watch ends at once: one that waits would take seconds to find out that the store doesn't
// answer, and might be lost itself as the store returns.
void StoreFeed::onFailure(TimePoint calledAt, const PlatformResult &result, Backoff &backoff,
                          void (StoreFeed::*step)())
{
    m_copy.storeFailed(m_callbacks.now());
    m_confirmOnly = true;
    const auto *failure = std::get_if<PlatformFailure>(&result);
    const bool listing = std::exchange(m_pageReceived, false);
    m_callEnded(
        {failure ? failure->what : "unexpected type of answer from the store", false, listing});
    const Duration atLeast
        = std::min(failure ? failure->retryAfter : Duration{0}, m_settings.maxRetry);
    if (m_lowRate && !listing)
        m_retry.add(this, calledAt, atLeast, [this, step] { (this->*step)(); });
    else
        schedule(backoff.next(m_random, atLeast), step);
}

void StoreFeed::onSuccess()
{
    m_backoff.reset();
    m_copy.storeAnswered(m_callbacks.now());
    m_retry.storeAnswered();
}

bool StoreFeed::storeReturnedRecently() const
{
    const auto returned = m_copy.storeReturnedAt();
    return returned && m_callbacks.now() - *returned < m_settings.returnGrace;
}

} // namespace baobabtrail
