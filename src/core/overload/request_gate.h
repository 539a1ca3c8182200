#pragma once

#include "core/ids.h"
#include "core/overload/held_requests.h"
#include "core/overload/target_window.h"

#include <functional>
#include <unordered_map>

namespace baobabtrail {

/// \brief Decides when a request on an open flow goes on to the flow's target.
///
/// An open flow can't be moved or refused; the one thing left to decide is when its next request
/// reaches the target. The gate holds no packets, only which requests wait.
class RequestGate
{
public:
    explicit RequestGate(OverloadSettings settings) noexcept
        : m_settings(settings)
    {
    }
    RequestGate(const RequestGate &) = delete;
    RequestGate &operator=(const RequestGate &) = delete;

    /// \return Whether the request waits from now on; else it goes on.
    bool tryHold(TargetId target, const HeldRequest &request);
    /// \brief A request went to the target, whether it was held or not.
    void sent(TargetId target, TimePoint now);
    /// \brief The target answered. \see TargetWindow::answered
    void answered(TargetId target, Duration took, Duration promised, TimePoint now);
    /// \brief A request was answered, or its flow has ended. \see TargetWindow::ended
    void ended(TargetId target, TimePoint sentAt);

    /// \return A request that goes on now, for which there is room.
    [[nodiscard]] std::optional<HeldRequest> takeNext(TargetId target, TimePoint now);
    /// \return A request that nobody waits for any more by the time it could be answered.
    [[nodiscard]] std::optional<HeldRequest> takePastDeadline(TargetId target, TimePoint now);
    /// \return Any request that waits for the target, which is no longer worth waiting for.
    [[nodiscard]] std::optional<HeldRequest> takeAny(TargetId target, TimePoint now);
    /// \brief Holds no request from now on; those that wait stay until they are taken.
    void stopHolding() noexcept { m_settings.hold = false; }
    /// \brief The caller has ended the flow. \return Whether a request of it waited.
    bool erase(TargetId target, const FlowKey &flow);
    /// \brief Forgets what was learnt of a target that has gone or has started again.
    void erase(TargetId target);

    /// \brief Forgets all targets but those that \a isKnown names.
    void retainOnly(const std::function<bool(TargetId)> &isKnown);

    /// \return The window of a target; null where nothing was learnt of it.
    [[nodiscard]] const TargetWindow *window(TargetId target) const;
    [[nodiscard]] std::size_t heldFor(TargetId target) const;
    /// \return Requests that wait, of all targets.
    [[nodiscard]] std::size_t held() const noexcept { return m_held; }
    /// \return Targets for which requests wait.
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
    [[nodiscard]] std::optional<HeldRequest> countTaken(std::optional<HeldRequest> taken);

    OverloadSettings m_settings;
    std::unordered_map<TargetId, Entry> m_targets;
    std::size_t m_held = 0;
};

} // namespace baobabtrail
