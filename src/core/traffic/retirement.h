#pragma once

#include "core/traffic/node_context.h"

#include <functional>
#include <map>

namespace baobabtrail {

/// \brief Completes the retirement of owned targets: proposes their removal once they are idle.
class Retirement
{
public:
    /// \param inUse Returns whether this daemon has work in progress at a target.
    Retirement(NodeContext &context, std::function<bool(TargetId)> inUse)
        : m_context(context)
        , m_inUse(std::move(inUse))
    {
    }

    void configure(Turn &turn);
    void advance(Turn &turn);
    [[nodiscard]] std::optional<TimePoint> nextTimer() const noexcept { return m_nextCheck; }

private:
    struct Candidate
    {
        ServiceId service;
        std::optional<TimePoint> idleSince;
        TimePoint proposeAt;
        Duration backOff{0};
    };

    [[nodiscard]] bool isIdle(TargetId target, const Candidate &candidate, TimePoint now) const;
    void propose(TargetId target, Candidate &candidate, Turn &turn);

    NodeContext &m_context;
    std::function<bool(TargetId)> m_inUse;
    std::map<TargetId, Candidate> m_candidates;
    std::optional<TimePoint> m_nextCheck;
};

} // namespace baobabtrail
