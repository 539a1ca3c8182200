#pragma once

#include "core/direct/segment.h"
#include "core/directory/directory.h"
#include "core/overload/overload_settings.h"

#include <optional>
#include <vector>

namespace baobabtrail {

/// \brief A request whose first segment is held until its flow's target has room for it.
struct HeldRequest
{
    FlowKey flow;
    RequestPolicy promise;
    TimePoint waitingSince; ///< When its caller began to wait, as far as this daemon can tell.
    TimePoint heldAt;
};

/// \brief The requests held for one target, and the order in which they are sent.
///
/// Load pattern: more requests than slots for several seconds. In FIFO order every request waits
/// for the whole backlog, so all answers are late. In LIFO order as many requests as there are
/// slots are answered in time, and the others would have been late anyway. The order is: requests
/// that can still be in time before those that can't, then by the priority of the route, then the
/// newest first.
class HeldRequests
{
public:
    explicit HeldRequests(const OverloadSettings &settings) noexcept
        : m_settings(settings)
    {
    }

    void add(const HeldRequest &request) { m_requests.push_back(request); }
    /// \return Whether a request of the flow was held.
    bool remove(const FlowKey &flow);

    /// \brief Removes the request that is sent next.
    /// \param expected Expected time from now to the answer of a request that is sent now.
    /// \param allowLate Whether a request that can't be in time any more may be sent.
    /// \return The request, or nothing where none may be sent.
    [[nodiscard]] std::optional<HeldRequest> takeNext(Duration expected, bool allowLate,
                                                      TimePoint now);
    /// \brief Removes a request whose caller's timeout passes before the expected answer.
    /// \return The request, or nothing where there is none.
    [[nodiscard]] std::optional<HeldRequest> takePastDeadline(Duration expected, TimePoint now);

    [[nodiscard]] std::size_t size() const noexcept { return m_requests.size(); }

private:
    using Iterator = std::vector<HeldRequest>::iterator;
    /// \return Whether \a a is sent before \a b, where both can still be in time.
    [[nodiscard]] bool precedes(const HeldRequest &a, const HeldRequest &b) const noexcept;
    /// \return The same where both are late: the one whose caller times out first.
    [[nodiscard]] bool precedesWhenLate(const HeldRequest &a, const HeldRequest &b) const noexcept;
    [[nodiscard]] HeldRequest take(Iterator place);

    const OverloadSettings &m_settings;
    std::vector<HeldRequest> m_requests;
};

} // namespace baobabtrail
