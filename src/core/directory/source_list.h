#pragma once

#include "core/directory/peer_view.h"
#include "core/endpoint.h"
#include "core/time.h"

#include <optional>
#include <string>
#include <vector>

namespace baobabtrail {

/// \brief A daemon that may be queried for copies.
struct Source
{
    Endpoint address;
    /// Unknown until the daemon is referred to with it, or answers.
    std::optional<std::string> domain;
    std::optional<TimePoint> failedAt;
    std::optional<TimePoint> redirectedAt; ///< It had no follower slot and redirected this daemon.
    std::optional<TimePoint> staleAt;      ///< Its copy was stale.
    bool hasSlot = false;                  ///< This daemon has a follower slot there.
    bool root = true;                      ///< Named by the settings, not by another daemon.
};

/// \brief The daemons that may be queried for copies, and the choice of the next one.
class SourceList
{
public:
    /// \param retryFailedAfter Until a source that failed is queried again.
    /// \param retryStaleAfter Until a root whose copy was stale is queried again.
    SourceList(std::string domain, Duration retryFailedAfter, Duration retryStaleAfter)
        : m_domain(std::move(domain))
        , m_retryFailedAfter(retryFailedAfter)
        , m_retryStaleAfter(retryStaleAfter)
    {
    }

    /// \brief Replaces all sources by the roots, without the daemon itself.
    void reset(const std::vector<Endpoint> &roots, const Endpoint &own);
    /// \return The source, or null.
    [[nodiscard]] Source *find(const Endpoint &address);
    /// \param last The source that answered last.
    /// \return The best source that has not failed recently, or null.
    [[nodiscard]] Source *choose(const Endpoint &last, TimePoint now);
    /// \return A root that may have a fresher copy, or null.
    [[nodiscard]] Source *untriedRoot(TimePoint now);
    [[nodiscard]] std::vector<Endpoint> roots() const;
    /// \brief Adds a daemon that another one has referred to.
    void add(const PeerReferral &named);
    /// \brief Erases all sources but the roots.
    void eraseReferred();
    /// \brief Makes all sources eligible again at once.
    void clearFailures();
    [[nodiscard]] bool empty() const noexcept { return m_sources.empty(); }
    [[nodiscard]] bool allFailed() const;

private:
    [[nodiscard]] bool failedRecently(const Source &source, TimePoint now) const
    {
        return source.failedAt && now - *source.failedAt < m_retryFailedAfter;
    }
    /// \return The rank of a source; the lowest is the best.
    [[nodiscard]] int rank(const Source &source, const Endpoint &last, TimePoint now) const;

    std::string m_domain;
    Duration m_retryFailedAfter;
    Duration m_retryStaleAfter;
    std::vector<Source> m_sources;
};

} // namespace baobabtrail
