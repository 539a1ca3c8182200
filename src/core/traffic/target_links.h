#pragma once

#include "core/traffic/node_context.h"

#include <functional>
#include <map>
#include <vector>

namespace baobabtrail {

/// \brief The connections to targets that this daemon owns, or has work in progress on.
class TargetLinks
{
public:
    explicit TargetLinks(NodeContext &context)
        : m_context(context)
    {
    }

    /// \brief Opens and closes connections to match configuration, ownership and use.
    /// \param inUse Returns whether this daemon has work in progress at a target.
    /// \return Targets whose connection was closed although it may have been in use.
    [[nodiscard]] std::vector<TargetId> reconcile(const std::function<bool(TargetId)> &inUse,
                                                  Turn &turn);
    /// \brief Closes connections to targets that are no longer owned, once no work is in progress.
    void closeIdle(const std::function<bool(TargetId)> &inUse, Turn &turn);
    void opened(TargetId target, Generation generation, Turn &turn);
    /// \return Whether it was the current connection.
    [[nodiscard]] bool closed(TargetId target, Generation generation, Turn &turn);
    /// \return Whether the current connection to the target is of this generation.
    [[nodiscard]] bool isCurrent(TargetId target, Generation generation) const noexcept;
    /// \return Whether the target is the expected one and may get work.
    [[nodiscard]] bool helloReply(TargetId target, const LinkHelloReply &reply, Turn &turn);

    /// \brief Sends hellos that are due, and reopens broken connections.
    /// \return Targets that stopped answering; their connection was closed.
    [[nodiscard]] std::vector<TargetId> advance(Turn &turn);
    [[nodiscard]] std::optional<TimePoint> nextTimer() const noexcept { return m_nextTimer; }

    /// \return The generation of the target where it may get work now, or nothing.
    [[nodiscard]] std::optional<Generation> usableGeneration(TargetId target) const noexcept;

private:
    struct Link
    {
        ServiceId service;
        Generation generation;
        Endpoint address;
        bool open = false;
        bool verified = false;
        bool unowned = false; ///< No longer owned; open while work is in progress.
        std::uint32_t unansweredHellos = 0;
        std::optional<TimePoint>
            retryAt; ///< When to reconnect; only while it is neither open nor opening.
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
