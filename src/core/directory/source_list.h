#pragma once

#include "core/directory/peer_view.h"
#include "core/endpoint.h"
#include "core/time.h"

#include <optional>
#include <string>
#include <vector>

namespace baobabtrail {

/// \brief A daemon that may be asked for copies.
struct Source
{
    Endpoint address;
    std::optional<std::string> domain; ///< Unknown until it is named with it, or answers.
    std::optional<TimePoint> failedAt;
    std::optional<TimePoint> redirectedAt; ///< It had no place, and named others.
    std::optional<TimePoint> staleAt;      ///< Its copy was out of date.
    bool hasSlot = false;                  ///< It answers this daemon while all is well.
    bool root = true;                      ///< Named by the settings, not by another daemon.
};

/// \brief Daemons that one daemon may ask for copies, and which one comes next.
class SourceList
{
public:
    /// \param forget Until a source that failed is tried again.
    /// \param retryStaleAfter Until a root whose copy was out of date is looked at again.
    SourceList(std::string domain, Duration retryFailedAfter, Duration retryStaleAfter)
        : m_domain(std::move(domain))
        , m_retryFailedAfter(retryFailedAfter)
        , m_retryStaleAfter(retryStaleAfter)
    {
    }

    /// \brief Starts anew with the roots, less the daemon itself.
    void reset(const std::vector<Endpoint> &roots, const Endpoint &own);
    /// \return The source, or null.
    [[nodiscard]] Source *find(const Endpoint &address);
    /// \param last The one that answered last.
    /// \return The best source that has not failed lately, or null.
    [[nodiscard]] Source *choose(const Endpoint &last, TimePoint now);
    /// \return A root that may have a younger copy, or null.
    [[nodiscard]] Source *untriedRoot(TimePoint now);
    [[nodiscard]] std::vector<Endpoint> roots() const;
    /// \brief Another daemon has named this one.
    void add(const PeerReferral &named);
    void eraseReferred();
    /// \brief All may be tried again at once.
    void clearFailures();
    [[nodiscard]] bool empty() const noexcept { return m_sources.empty(); }
    [[nodiscard]] bool allFailed() const;

private:
    [[nodiscard]] bool failedRecently(const Source &source, TimePoint now) const
    {
        return source.failedAt && now - *source.failedAt < m_retryFailedAfter;
    }
    /// \return The lower the better.
    [[nodiscard]] int rank(const Source &source, const Endpoint &last, TimePoint now) const;

    std::string m_domain;
    Duration m_retryFailedAfter;
    Duration m_retryStaleAfter;
    std::vector<Source> m_sources;
};

} // namespace baobabtrail
