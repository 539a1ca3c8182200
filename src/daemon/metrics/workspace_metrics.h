#pragma once

#include "core/config/config.h"
#include "core/notice.h"
#include "daemon/metrics/duration_histogram.h"
#include "daemon/metrics/names.h"

#include <array>
#include <map>
#include <string>
#include <unordered_map>

namespace baobabtrail::daemon {

/// \brief Histograms and counters for each workspace and request class.
///
/// Memory is bounded by a maximum number of workspaces. Workspaces beyond it, and traffic for
/// services that the configuration doesn't contain, share the entry "other".
class WorkspaceMetrics
{
public:
    explicit WorkspaceMetrics(std::size_t maxWorkspaces);

    /// \brief Updates which service belongs to which workspace, and erases the entries of
    /// workspaces that are no longer in the configuration.
    void configure(const Config &config);
    void observe(const Observation &observation);
    void write(Exposition &page) const;

    /// \return The number of workspaces with an entry of their own.
    [[nodiscard]] std::size_t size() const noexcept { return m_workspaces.size(); }

private:
    struct ClassMetrics
    {
        DurationHistogram total;
        DurationHistogram queued;
        std::array<std::uint64_t, OutcomeNames.size()> outcomes{};
        std::array<std::uint64_t, RefusalNames.size()> refusals{};
    };
    struct Entry
    {
        std::array<ClassMetrics, RequestClassCount> classes;
        std::array<std::uint64_t, FlowEventNames.size()> flows{};
        std::array<std::uint64_t, RefusalNames.size()> flowRefusals{};
        std::array<std::uint64_t, ResetNames.size()> flowResets{};
        std::array<std::uint64_t, RejectNames.size()> rejects{};
    };

    [[nodiscard]] Entry &entryOf(ServiceId service);
    void add(const RequestObserved &observed);
    void add(const FlowObserved &observed);
    void add(const RejectObserved &observed);

    template <typename Write>
    void forEach(Write write) const;
    void writeRequests(Exposition &page) const;
    void writeFlows(Exposition &page) const;

    std::size_t m_maxWorkspaces;
    std::map<std::string, Entry> m_workspaces;
    std::unordered_map<ServiceId, Entry *> m_services;
    Entry m_other;
};

} // namespace baobabtrail::daemon
