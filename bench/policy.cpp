/// \file
/// \brief Compares the product's placement of requests and flows with baseline policies, in a
/// simulation with virtual time.

#include "bench/policy/baselines.h"
#include "bench/policy/decision_cost.h"
#include "bench/policy/flow_run.h"
#include "bench/policy/product_policy.h"
#include "command_line.h"

#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

DEFINE_uint64(seed, 20260, "seed of every run");
DEFINE_string(only, "", "part of a scenario's name; empty for all");

namespace {

using namespace baobabtrail;
using namespace baobabtrail::bench;

constexpr int Ownerships = 8;
constexpr std::uint64_t IdStep = 100;

[[nodiscard]] double quantile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    const auto at = static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + at, values.end());
    return values[static_cast<std::size_t>(at)];
}

[[nodiscard]] double percent(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 0.0 : 100.0 * static_cast<double>(part) / static_cast<double>(whole);
}

void printRow(const char *policy, const RequestResult &result, double boundP99)
{
    std::printf("  %-16s %7.1f %7.1f %7.1f %6.2f   %5.2f %5.2f   %5.3f  %5.1f %5.1f %5.1f  %5llu",
                policy, quantile(result.latencies, 0.5), quantile(result.latencies, 0.99),
                quantile(result.latencies, 0.999),
                quantile(result.latencies, 0.99) / std::max(boundP99, 1e-9),
                quantile(result.atTarget, 0.5), quantile(result.imbalance, 0.5), result.goodput,
                percent(result.classes[0].refused, result.classes[0].offered),
                percent(result.classes[1].refused, result.classes[1].offered),
                percent(result.classes[2].refused, result.classes[2].offered),
                static_cast<unsigned long long>(result.lost));
    if (result.hops > 0)
        std::printf("  %.2f", static_cast<double>(result.hops)
                                  / static_cast<double>(std::max<std::size_t>(
                                      result.latencies.size() + result.refusalTimes.size(), 1)));
    std::printf("\n");
}

void printMixed(const RequestResult &result)
{
    std::printf("  ours: refusals p50 %.2f ms, p99 %.2f ms after the ask;",
                quantile(result.refusalTimes, 0.5), quantile(result.refusalTimes, 0.99));
    for (const auto &[workspace, counts] : result.workspaces)
        std::printf(" %s answered %.1f%%", workspace.c_str(),
                    percent(counts.answered, counts.offered));
    std::printf("\n");
}

[[nodiscard]] RequestResult baseline(const Scenario &scenario, const Layout &layout, Baseline kind)
{
    RequestRun run{scenario, layout, FLAGS_seed};
    BaselinePolicy policy{run, kind};
    return run.play(policy);
}

[[nodiscard]] RequestResult product(const Scenario &scenario, const Layout &layout, bool shared)
{
    RequestRun run{scenario, layout, FLAGS_seed};
    ProductPolicy policy{run, shared};
    return run.play(policy);
}

void compare(const Scenario &scenario, const Layout &layout)
{
    if (scenario.name.find(FLAGS_only) == std::string::npos)
        return;
    std::printf("%s: %zu targets of %u slots, %zu daemons, %zu domain(s)\n", scenario.name.c_str(),
                layout.targets, layout.slots, layout.daemons, layout.domains);
    const RequestResult bound = baseline(scenario, layout, Baseline::ShortestQueue);
    const double boundP99 = quantile(bound.latencies, 0.99);
    printRow("random", baseline(scenario, layout, Baseline::Random), boundP99);
    printRow("two, own counts", baseline(scenario, layout, Baseline::TwoLocalCounts), boundP99);
    printRow("own queues only", product(scenario, layout, false), boundP99);
    const RequestResult ours = product(scenario, layout, true);
    printRow("baobabtrail", ours, boundP99);
    printRow("shortest queue", bound, boundP99);
    if (scenario.mixed)
        printMixed(ours);
}

[[nodiscard]] std::vector<Scenario> requestScenarios()
{
    return {
        {"steady 70%", 0.7, false, Fault::None, false, 60s},
        {"steady 90%", 0.9, false, Fault::None, false, 100s},
        {"steady 95%", 0.95, false, Fault::None, false, 60s},
        {"bursty 70%", 0.7, true, Fault::None, false, 60s},
        {"slow target 70%", 0.7, false, Fault::SlowTarget, false, 40s},
        {"cold target 70%", 0.7, false, Fault::ColdTarget, false, 40s},
        {"lying empty 90%", 0.9, false, Fault::LyingEmpty, false, 40s},
        {"lying full 90%", 0.9, false, Fault::LyingFull, false, 40s},
        {"late reports 90%", 0.9, false, Fault::LateReports, false, 40s},
        {"drain 70%", 0.7, false, Fault::Drain, false, 40s},
        {"daemon joins 90%", 0.9, false, Fault::DaemonJoins, false, 40s},
        {"daemon dies 70%", 0.7, false, Fault::DaemonDies, false, 40s},
        {"daemon dies, 2 to 5 s after", 0.7, false, Fault::DaemonDies, false, 10s},
        {"daemon dies, from 5.5 s after", 0.7, false, Fault::DaemonDies, false, 40s, 5s, 5500ms},
        {"daemon dies, seen after 2 s", 0.7, false, Fault::DaemonDies, false, 40s, 5s, 2s, 2s},
        {"overload 200%", 2.0, false, Fault::None, true, 30s},
    };
}

/// \brief Repeats one scenario with several sets of daemon ids. The rendezvous hash gives some
/// daemons more targets than others, and as an owner shares the queues of its targets, this affects
/// the result: a single set of ids isn't representative.
void compareOwnerships(std::uint32_t slots)
{
    const Scenario steady{"steady 90%, by ownership", 0.9, false, Fault::None, false, 60s};
    if (steady.name.find(FLAGS_only) == std::string::npos)
        return;
    std::printf("%s, %u slots: p99 over the bound's, median imbalance at targets\n",
                steady.name.c_str(), slots);
    Layout layout{14, slots, 8, 1};
    const double bound
        = quantile(baseline(steady, layout, Baseline::ShortestQueue).latencies, 0.99);
    for (int i = 0; i < Ownerships; ++i) {
        const RequestResult ours = product(steady, layout, true);
        std::printf("  %.2f %.2f", quantile(ours.latencies, 0.99) / bound,
                    quantile(ours.atTarget, 0.5));
        layout.firstDaemon += IdStep;
    }
    std::printf("\n");
}

void printFlowRow(const char *policy, const FlowResult &result)
{
    std::printf("  %-18s %6.3f %6.3f   %6.3f   %6.2f   %llu\n", policy,
                quantile(result.imbalance, 0.5), quantile(result.imbalance, 0.99),
                quantile(result.least, 0.5), result.faultyShare,
                static_cast<unsigned long long>(result.refused));
}

void compareFlows(const Scenario &scenario, const Layout &layout)
{
    if (scenario.name.find(FLAGS_only) == std::string::npos)
        return;
    std::printf("%s: %zu targets, about 2000 flows each, %zu daemons\n", scenario.name.c_str(),
                layout.targets, layout.daemons);
    const std::array<std::pair<const char *, FlowPolicy>, 4> policies{
        {{"random", FlowPolicy::Random},
         {"two, by reports", FlowPolicy::TwoByReports},
         {"baobabtrail", FlowPolicy::Product},
         {"fewest connections", FlowPolicy::FewestConnections}}};
    for (const auto &[name, policy] : policies)
        printFlowRow(name, FlowRun{scenario, layout, FLAGS_seed, policy}.play());
}

[[nodiscard]] std::vector<Scenario> flowScenarios()
{
    std::vector<Scenario> result;
    const std::array<std::pair<const char *, Fault>, 9> faults{
        {{"flows, steady", Fault::None},
         {"flows, half weight", Fault::HalfWeight},
         {"flows, new target", Fault::ColdTarget},
         {"flows, drain", Fault::Drain},
         {"flows, lying empty", Fault::LyingEmpty},
         {"flows, lying full", Fault::LyingFull},
         {"flows, late reports", Fault::LateReports},
         {"flows, daemon joins", Fault::DaemonJoins},
         {"flows, daemon dies", Fault::DaemonDies}}};
    for (const auto &[name, fault] : faults) {
        Scenario scenario;
        scenario.name = name;
        scenario.fault = fault;
        scenario.length = 40s;
        result.push_back(scenario);
    }
    return result;
}

} // namespace

int main(int argc, char **argv)
{
    baobabtrail::readFlags(
        argc, argv,
        "bench-policy [flags]: compares placement policies for flows and requests in virtual time");
    std::printf("bench-policy --seed=%llu\n", static_cast<unsigned long long>(FLAGS_seed));
    std::printf(
        "  way                p50 ms  p99 ms p99.9ms  /best  imb@t imb+q  goodput  refused%% "
        "by class  lost  hops\n");
    for (const std::uint32_t slots : {2U, 3U}) {
        for (const Scenario &scenario : requestScenarios())
            compare(scenario, Layout{14, slots, 8, 1});
    }
    for (const Scenario &scenario : requestScenarios())
        compare(scenario, Layout{14, 2, 8, 3});
    for (const std::uint32_t slots : {2U, 3U})
        compareOwnerships(slots);
    std::printf(
        "  way                max/mean of flows per weight: p50, p99; min/mean p50; share of the "
        "faulty target; refused\n");
    for (const Scenario &scenario : flowScenarios())
        compareFlows(scenario, Layout{14, 2, 8, 1});
    printDecisionCost();
    return 0;
}
