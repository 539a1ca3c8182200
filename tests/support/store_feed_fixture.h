#pragma once

#include "core/directory/store_feed.h"
#include "support/fake_directory_store.h"

#include <string>
#include <vector>

namespace baobabtrail::test {

/// \brief A store with a list of several pages, and a feed that has not started.
struct StoreFeedFixture
{
    static constexpr int Caller = 0;
    static constexpr std::uint64_t DefaultTargets = 120;

    [[nodiscard]] static std::string keyOf(std::uint64_t target)
    {
        return "targets/" + std::to_string(1000 + target);
    }

    VirtualTime time;
    FakeDirectoryStore store{time};
    Random random{1};
    StoreRetry retry{3s, {callbacks().now, callbacks().after}, random};
    CollectionCopy copy;
    std::vector<CollectionChange> changes;
    StoreFeed feed;

    explicit StoreFeedFixture(std::uint64_t targets = DefaultTargets)
        : feed(
            "targets/", {}, callbacks(), random, retry, copy,
            [this](const CollectionChange &change) { changes.push_back(change); },
            [](const StoreCallResult &) {})
    {
        store.pageObjects = 50;
        for (std::uint64_t target = 0; target < targets; ++target)
            store.put(keyOf(target), "ready");
    }

    [[nodiscard]] StoreFeedCallbacks callbacks()
    {
        StoreFeedCallbacks callbacks;
        callbacks.now = [this] { return time.now(); };
        callbacks.after = [this](Duration wait, std::function<void()> call) {
            time.after(wait, std::move(call));
        };
        callbacks.call
            = [this](const PlatformRequest &request, std::function<void(PlatformResult)> done) {
                  store.call(Caller, request, std::move(done));
              };
        return callbacks;
    }
};

} // namespace baobabtrail::test
