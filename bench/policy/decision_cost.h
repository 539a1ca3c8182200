#pragma once

#include "fleet.h"

#include "core/limits/admission_queue.h"
#include "core/targets/target_table.h"

#include <chrono>
#include <cstdio>

namespace baobabtrail::bench {

/// \brief Mean wall time of one call, in nanoseconds.
template <typename Call>
[[nodiscard]] double nanosecondsOf(std::size_t calls, Call call)
{
    const auto begin = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < calls; ++i)
        call(i);
    const auto passed = std::chrono::steady_clock::now() - begin;
    return std::chrono::duration<double, std::nano>(passed).count() / static_cast<double>(calls);
}

inline constexpr std::size_t CallsMeasured = 200000;

inline void printDecisionCost()
{
    const Layout layout;
    Random random{1};
    TargetTable table;
    const std::vector<bool> alive(layout.daemons, true);
    table.configure(std::make_shared<const Config>(configOf(layout)), viewOf(0, layout, alive),
                    TimePoint{});
    for (std::size_t i = 0; i < layout.targets; ++i) {
        const TargetId target = targetOf(i, layout).id;
        table.linkVerified(target, theService(), {}, TimePoint{});
        table.applyHint({target, 0.5F, 20.0F}, TimePoint{});
    }
    const auto at = [](std::size_t i) { return TimePoint{} + std::chrono::microseconds(i); };
    const double request = nanosecondsOf(CallsMeasured, [&](std::size_t i) {
        (void)table.chooseForRequest(theService(), RequestId{1, i}, {}, at(i), random);
    });
    const double flow = nanosecondsOf(CallsMeasured, [&](std::size_t i) {
        (void)table.chooseForFlow(theService(), FlowId{i + 1}, 0, {}, at(i), random);
    });
    AdmissionQueue queue{64};
    std::optional<QueueEntry> displaced;
    std::vector<QueueEntry> expired;
    std::uint64_t next = 0;
    const auto push = [&](std::size_t i) {
        const QueueEntry entry{{1, ++next},
                               static_cast<RequestClass>(i % RequestClassCount),
                               i % 2 == 0 ? "school" : "library",
                               at(i) + 10s,
                               at(i)};
        (void)queue.push(entry, at(i), random, displaced);
    };
    for (std::size_t i = 0; i < 32; ++i)
        push(i);
    const double pair = nanosecondsOf(CallsMeasured, [&](std::size_t i) {
        push(i);
        (void)queue.pop(at(i), expired);
    });
    std::printf(
        "decisions, ns each: chooseForRequest %.0f, chooseForFlow %.0f, push and pop %.0f\n",
        request, flow, pair);
}

} // namespace baobabtrail::bench
