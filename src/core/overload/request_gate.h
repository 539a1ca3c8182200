#pragma once

#include "core/ids.h"
#include "core/overload/held_requests.h"
#include "core/overload/target_window.h"

#include <functional>
#include <unordered_map>

namespace baobabtrail {

/// \brief Decides when a request on an open flow is forwarded to the flow's target.
///
/// An open flow can be neither moved nor refused, so all that can be decided is when its next
/// request reaches the target. The gate stores no packets, only which requests are held.
class RequestGate
{
public:
    explicit RequestGate(OverloadSettings settings) noexcept
        : m_settings(settings)
    {
    }
    RequestGate(const RequestGate &) = delete;
    RequestGate &operator=(const RequestGate &) = delete;

    /// \brief Holds a request for which its target has no room.
    /// \return Whether the request is held; else the caller forwards it.
    bool tryHold(TargetId target, const HeldRequest &request);
    /// \brief A request was sent to the target, whether it was held before or not.
    void sent(TargetId target, TimePoint now);
    /// \brief The target answered. \see TargetWindow::answered
    void answered(TargetId target, Duration took, Duration promised, TimePoint now);
    /// \brief A request was answered, or its flow has ended. \see TargetWindow::ended
    void ended(TargetId target, TimePoint sentAt);

    /// \return A held request to be forwarded now, for which the target has room.
    [[nodiscard]] std::optional<HeldRequest> takeNext(TargetId target, TimePoint now);
    /// \return A held request to be abandoned: its caller times out before an answer could arrive.
    [[nodiscard]] std::optional<HeldRequest> takePastDeadline(TargetId target, TimePoint now);
    /// \return Any held request of a target for which nothing should be held any more.
    [[nodiscard]] std::optional<HeldRequest> takeAny(TargetId target, TimePoint now);
    /// \brief Holds no further requests; those that are held stay until they are taken.
    void stopHolding() noexcept { m_settings.hold = false; }
    /// \brief Removes the held request of a flow. \return Whether there was one.
    bool erase(TargetId target, const FlowKey &flow);
    /// \brief Erases the state of a target that has gone or has restarted, with its held requests.
    void erase(TargetId target);

    /// \brief Erases all targets for which \a isKnown returns false.
    void retainOnly(const std::function<bool(TargetId)> &isKnown);

    /// \return The window of a target; null where no request was sent to it yet.
    [[nodiscard]] const TargetWindow *window(TargetId target) const;
    [[nodiscard]] std::size_t heldFor(TargetId target) const;
    /// \return Held requests of all targets.
    [[nodiscard]] std::size_t held() const noexcept { return m_held; }
    /// \return Targets for which requests are held.
    [[nodiscard]] std::vector<TargetId> targetsWithHeldRequests() const;

private:
    struct Entry
    {
        explicit Entry(const OverloadSettings &settings) noexcept
            : window(settings)
            , waiting(settings)
        {
        }
        TargetWindow window;
        HeldRequests waiting;
    };

    [[nodiscard]] Entry *find(TargetId target);
    /// \brief Subtracts a request that was taken from the count of held ones.
    [[nodiscard]] std::optional<HeldRequest> countTaken(std::optional<HeldRequest> taken);

    OverloadSettings m_settings;
    std::unordered_map<TargetId, Entry> m_targets;
    std::size_t m_held = 0;
};

} // namespace baobabtrail
