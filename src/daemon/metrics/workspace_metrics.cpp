#include "daemon/metrics/workspace_metrics.h"

#include <variant>

namespace baobabtrail::daemon {

namespace {

constexpr std::string_view OverflowWorkspace = "other";

template <typename Enum>
[[nodiscard]] constexpr std::size_t indexOf(Enum value) noexcept
{
    return static_cast<std::size_t>(value);
}

template <std::size_t Size>
void writeNamed(Exposition &page, Labels labels, std::string_view label,
                const std::array<std::string_view, Size> &names,
                const std::array<std::uint64_t, Size> &counts)
{
    labels.emplace_back(label, std::string_view{});
    for (std::size_t index = 0; index < Size; ++index) {
        if (counts[index] == 0)
            continue;
        labels.back().second = names[index];
        page.sample(labels, static_cast<double>(counts[index]));
    }
}

} // namespace

WorkspaceMetrics::WorkspaceMetrics(std::size_t maxWorkspaces)
    : m_maxWorkspaces(maxWorkspaces)
{
}

void WorkspaceMetrics::configure(const Config &config)
{
    std::erase_if(m_workspaces,
                  [&](const auto &entry) { return !config.workspaces.contains(entry.first); });
    for (const auto &[name, workspace] : config.workspaces) {
        if (m_workspaces.size() >= m_maxWorkspaces)
            break;
        m_workspaces.try_emplace(name);
    }
    m_services.clear();
    for (const auto &[id, service] : config.services) {
        const auto found = m_workspaces.find(service.workspace);
        if (found != m_workspaces.end())
            m_services.emplace(id, &found->second);
    }
}

void WorkspaceMetrics::observe(const Observation &observation)
{
    std::visit([this](const auto &observed) { add(observed); }, observation);
}

WorkspaceMetrics::Entry &WorkspaceMetrics::entryOf(ServiceId service)
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? m_other : *found->second;
}

void WorkspaceMetrics::add(const RequestObserved &observed)
{
    ClassMetrics &metrics = entryOf(observed.service).classes[indexOf(observed.requestClass)];
    ++metrics.outcomes[indexOf(observed.outcome)];
    if (observed.outcome == RequestOutcome::NotRun) {
        ++metrics.refusals[indexOf(observed.refusal)];
        return;
    }
    metrics.total.add(observed.total);
    metrics.queued.add(observed.queued);
}

void WorkspaceMetrics::add(const FlowObserved &observed)
{
    Entry &entry = entryOf(observed.service);
    ++entry.flows[indexOf(observed.event)];
    if (observed.event == FlowEvent::Refused)
        ++entry.flowRefusals[indexOf(observed.refusal)];
    if (observed.event == FlowEvent::Reset)
        ++entry.flowResets[indexOf(observed.reset)];
}

void WorkspaceMetrics::add(const RejectObserved &observed)
{
    ++entryOf(observed.service).rejects[indexOf(observed.kind)];
}

template <typename Write>
void WorkspaceMetrics::forEach(Write write) const
{
    for (const auto &[name, entry] : m_workspaces)
        write(std::string_view{name}, entry);
    write(OverflowWorkspace, m_other);
}

void WorkspaceMetrics::write(Exposition &page) const
{
    writeRequests(page);
    writeFlows(page);
}

// Workspaces are called tenants in the labels of metrics.
void WorkspaceMetrics::writeRequests(Exposition &page) const
{
    const auto forEachClass = [this](auto write) {
        forEach([&](std::string_view workspace, const Entry &entry) {
            for (std::size_t index = 0; index < RequestClassCount; ++index)
                write(Labels{{"tenant", workspace}, {"class", ClassNames[index]}},
                      entry.classes[index]);
        });
    };

    page.family("baobabtrail_requests_total", "counter", "Requests by outcome, at their owner.");
    forEachClass([&](const Labels &labels, const ClassMetrics &metrics) {
        writeNamed(page, labels, "outcome", OutcomeNames, metrics.outcomes);
    });
    page.family("baobabtrail_request_refusals_total", "counter",
                "Requests that were not run, by cause.");
    forEachClass([&](const Labels &labels, const ClassMetrics &metrics) {
        writeNamed(page, labels, "cause", RefusalNames, metrics.refusals);
    });
    page.family("baobabtrail_request_seconds", "histogram",
                "Time from the reservation to the end of a request that was dispatched.");
    forEachClass([&](const Labels &labels, const ClassMetrics &metrics) {
        if (metrics.total.count() != 0)
            metrics.total.write(page, labels);
    });
    page.family("baobabtrail_request_queued_seconds", "histogram",
                "Time from the reservation to the dispatch of a request.");
    forEachClass([&](const Labels &labels, const ClassMetrics &metrics) {
        if (metrics.queued.count() != 0)
            metrics.queued.write(page, labels);
    });
    page.family("baobabtrail_request_estimate_seconds", "gauge",
                "Estimated quantiles and mean of baobabtrail_request_seconds.");
    forEachClass([&](const Labels &labels, const ClassMetrics &metrics) {
        constexpr std::array quantileNames{"0.5", "0.9", "0.99"};
        static_assert(quantileNames.size() == Quantiles.size());
        if (metrics.total.count() == 0)
            return;
        Labels named = labels;
        named.emplace_back("quantile", std::string_view{});
        for (std::size_t index = 0; index < Quantiles.size(); ++index) {
            named.back().second = quantileNames[index];
            const std::chrono::duration<double> estimate = metrics.total.quantile(index);
            page.sample(named, estimate.count());
        }
        named.back() = {"statistic", "mean"};
        page.sample(named, std::chrono::duration<double>(metrics.total.mean()).count());
    });
}

void WorkspaceMetrics::writeFlows(Exposition &page) const
{
    const auto forEachWorkspace = [this](auto write) {
        forEach([&](std::string_view workspace, const Entry &entry) {
            write(Labels{{"tenant", workspace}}, entry);
        });
    };

    page.family("baobabtrail_flows_total", "counter", "Flows by event.");
    forEachWorkspace([&](const Labels &labels, const Entry &entry) {
        writeNamed(page, labels, "event", FlowEventNames, entry.flows);
    });
    page.family("baobabtrail_flow_refusals_total", "counter", "Flows not placed, by cause.");
    forEachWorkspace([&](const Labels &labels, const Entry &entry) {
        writeNamed(page, labels, "cause", RefusalNames, entry.flowRefusals);
    });
    page.family("baobabtrail_flow_resets_total", "counter", "Flows that were reset, by cause.");
    forEachWorkspace([&](const Labels &labels, const Entry &entry) {
        writeNamed(page, labels, "cause", ResetNames, entry.flowResets);
    });
    page.family("baobabtrail_rejects_total", "counter",
                "Tokens and messages that were rejected, by kind.");
    forEachWorkspace([&](const Labels &labels, const Entry &entry) {
        writeNamed(page, labels, "kind", RejectNames, entry.rejects);
    });
}

} // namespace baobabtrail::daemon
