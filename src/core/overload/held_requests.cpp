#include "core/overload/held_requests.h"

#include <algorithm>

namespace baobabtrail {

namespace {

/// A request is in time if the expected answer time is left, or half of the promised latency where
/// that is shorter: its answer may be faster than the average. With less left it is late.
[[nodiscard]] bool inTime(const HeldRequest &request, Duration expected, TimePoint now) noexcept
{
    const Duration hoped = std::min(expected, request.promise.latency / 2);
    return now + hoped <= request.waitingSince + request.promise.latency;
}

} // namespace

bool HeldRequests::precedes(const HeldRequest &a, const HeldRequest &b) const noexcept
{
    if (m_settings.priorities && a.promise.priority != b.promise.priority)
        return a.promise.priority < b.promise.priority;
    return m_settings.newestFirst ? a.waitingSince > b.waitingSince
                                  : a.waitingSince < b.waitingSince;
}

bool HeldRequests::precedesWhenLate(const HeldRequest &a, const HeldRequest &b) const noexcept
{
    if (m_settings.priorities && a.promise.priority != b.promise.priority)
        return a.promise.priority < b.promise.priority;
    return a.waitingSince + a.promise.timeout < b.waitingSince + b.promise.timeout;
}

bool HeldRequests::remove(const FlowKey &flow)
{
    return std::erase_if(m_requests,
                         [&](const HeldRequest &request) { return request.flow == flow; })
           > 0;
}

HeldRequest HeldRequests::take(Iterator place)
{
    const HeldRequest taken = *place;
    *place = m_requests.back();
    m_requests.pop_back();
    return taken;
}

std::optional<HeldRequest> HeldRequests::takeNext(Duration expected, bool allowLate, TimePoint now)
{
    const Iterator end = m_requests.end();
    Iterator best = end;
    Iterator late = end;
    for (Iterator place = m_requests.begin(); place != end; ++place) {
        if (!inTime(*place, expected, now)) {
            if (late == end || precedesWhenLate(*place, *late))
                late = place;
            continue;
        }
        if (best == end || precedes(*place, *best))
            best = place;
    }
    if (best != end)
        return take(best);
    if (late != end && allowLate)
        return take(late);
    return std::nullopt;
}

std::optional<HeldRequest> HeldRequests::takePastDeadline(Duration expected, TimePoint now)
{
    for (Iterator place = m_requests.begin(); place != m_requests.end(); ++place) {
        const Duration timeout = place->promise.timeout;
        if (timeout > Duration{0} && now + expected > place->waitingSince + timeout)
            return take(place);
    }
    return std::nullopt;
}

} // namespace baobabtrail
