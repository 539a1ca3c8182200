#pragma once

#include "core/direct/segment.h"
#include "core/directory/directory.h"
#include "core/overload/overload_settings.h"

#include <optional>
#include <vector>

namespace baobabtrail {

/// \brief A request whose first segment waits for room at its flow's target.
struct HeldRequest
{
    FlowKey flow;
    RequestPromise promise;
    TimePoint waitingSince; ///< When its caller began to wait, as far as is known.
    TimePoint heldAt;
};

/// \brief The requests that wait for one target, and which of them goes next.
///
/// Load pattern: more requests than slots, for seconds. Served in order, all wait about as long as
/// the backlog is deep, and all are late; the newest first, as many as there are slots are in time
/// and the rest is late, which it was anyway. Before that, what a route's operator calls more
/// urgent goes first, and what can still be in time before what can't.
class HeldRequests
{
public:
    explicit HeldRequests(const OverloadSettings &settings) noexcept
        : m_settings(settings)
    {
    }

    void add(const HeldRequest &request) { m_requests.push_back(request); }
    /// \return Whether it waited here.
    bool remove(const FlowKey &flow);

    /// \param expected Time from now to the answer of what goes now.
    /// \param allowLate Whether one that is late already may go.
    /// \return The one that goes next, which no longer waits; nothing where none does.
    [[nodiscard]] std::optional<HeldRequest> takeNext(Duration expected, bool allowLate,
                                                      TimePoint now);
    /// \return One whose caller will have given up before an answer could come; it no longer waits.
    [[nodiscard]] std::optional<HeldRequest> takePastDeadline(Duration expected, TimePoint now);

    [[nodiscard]] std::size_t size() const noexcept { return m_requests.size(); }

private:
    using Iterator = std::vector<HeldRequest>::iterator;
    /// \return Whether \a a goes before \a b, where both can still be in time.
    [[nodiscard]] bool precedes(const HeldRequest &a, const HeldRequest &b) const noexcept;
    /// \return The same where both are late: the one whose caller gives up first.
    [[nodiscard]] bool precedesWhenLate(const HeldRequest &a, const HeldRequest &b) const noexcept;
    [[nodiscard]] HeldRequest take(Iterator place);

    const OverloadSettings &m_settings;
    std::vector<HeldRequest> m_requests;
};

} // namespace baobabtrail
