#pragma once

#include "core/load.h"
#include "core/messages/request.h"
#include "core/random.h"
#include "support/standin_process.h"
#include "target/target_settings.h"

#include <boost/json.hpp>

#include <deque>
#include <map>
#include <utility>

namespace baobabtrail::standins {

/// \brief State shared by the flows and requests of a target: load, switches and counters.
struct TargetState
{
    explicit TargetState(TargetSettings s)
        : settings(std::move(s))
        , random(settings.seed)
        , started(now())
    {
    }

    TargetSettings settings;
    Random random;
    TimePoint started;
    LoadReport load;       ///< Actual load.
    bool draining = false; ///< Refuses new flows and sheds new requests.
    bool shedding = false; ///< Sheds new requests.
    Generation generation; ///< Newest one seen from a daemon.
    std::map<std::string, std::uint64_t> counts;
    std::map<RequestId, std::uint32_t> runs; ///< How often each request was started.
    std::deque<std::pair<TimePoint, LoadReport>> history;

    void count(const std::string &name) { ++counts[name]; }

    /// \return The load as reported: delayed by the report lag and scaled by the report factor.
    [[nodiscard]] LoadReport reported()
    {
        const TimePoint time = now();
        history.emplace_back(time, load);
        while (history.size() > 1 && history[1].first <= time - settings.reportLag)
            history.pop_front();
        const auto scaled = [this](std::uint32_t value) {
            return static_cast<std::uint32_t>(value * settings.reportFactor);
        };
        const LoadReport &seen = history.front().second;
        return {scaled(seen.running), scaled(seen.queued), scaled(seen.connections)};
    }

    [[nodiscard]] Duration drawServiceTime()
    {
        Duration time = settings.exponentialService ? exponential(random, settings.serviceTime)
                                                    : settings.serviceTime;
        if (now() - started < settings.coldFor)
            time *= ColdFactor;
        return time;
    }
};

} // namespace baobabtrail::standins
