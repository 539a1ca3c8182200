#pragma once

#include "core/traffic/node_context.h"

#include <functional>
#include <map>
#include <vector>

namespace baobabtrail {

/// \brief The connections to the targets that this daemon owns, or still has work on.
class TargetLinks
{
public:
    explicit TargetLinks(NodeContext &context)
        : m_context(context)
    {
    }

    /// \brief Opens and closes connections as configuration, ownership and use ask for.
    /// \param inUse Whether work is left at a target.
    /// \return Targets whose connection was closed while it may have been in use.
    [[nodiscard]] std::vector<TargetId> reconcile(const std::function<bool(TargetId)> &inUse,
                                                  Turn &turn);
    /// \brief Closes connections that were kept for work alone, once it is done.
    void closeIdle(const std::function<bool(TargetId)> &inUse, Turn &turn);
    void opened(TargetId target, Generation generation, Turn &turn);
    /// \return Whether it was the connection that is in use.
    [[nodiscard]] bool closed(TargetId target, Generation generation, Turn &turn);
    /// \return Whether it came over the connection that is in use.
    [[nodiscard]] bool isCurrent(TargetId target, Generation generation) const noexcept;
    /// \return Whether the target may get work since.
    [[nodiscard]] bool helloReply(TargetId target, const LinkHelloReply &reply, Turn &turn);

    /// \brief Sends hellos that are due.
    /// \return Targets that no longer answer; their connection was closed.
    [[nodiscard]] std::vector<TargetId> advance(Turn &turn);
    [[nodiscard]] std::optional<TimePoint> nextTimer() const noexcept { return m_nextTimer; }

    /// \return The generation that may get work now, or nothing.
    [[nodiscard]] std::optional<Generation> usableGeneration(TargetId target) const noexcept;

private:
    struct Link
    {
        ServiceId service;
        Generation generation;
        Endpoint address;
        bool open = false;
        bool verified = false;
        bool unowned = false; ///< Not owned any more.
        std::uint32_t unansweredHellos = 0;
        std::optional<TimePoint>
            retryAt; ///< When to open it, where it is neither open nor opening.
        TimePoint helloAt;
    };

    void connect(TargetId target, Link &link, Turn &turn);
    void sendHello(TargetId target, Link &link, Turn &turn);
    void markBroken(TargetId target, Link &link, Turn &turn);
    void schedule() noexcept;

    NodeContext &m_context;
    std::map<TargetId, Link> m_links;
    std::size_t m_unownedLinks = 0;
    std::optional<TimePoint> m_nextTimer;
};

} // namespace baobabtrail
