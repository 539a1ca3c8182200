/// \file
/// \brief End-to-end benchmark: both users' deployments at full size as real processes on loopback,
/// with the changes and failures of an hour in 40 s of traffic.
///
/// Each deployment runs once with the product's daemon and once with bench-random-daemon, the same
/// daemon with random placement: 4 runs of about a minute each, with some 35 processes at a time.
///
///     build/release/bench-whole [--scale 1.0]

#include "command_line.h"
#include "whole/run.h"

#include <cstdio>

DEFINE_double(scale, 1.0, "factor for the number of connections; the request rates don't change");
DEFINE_bool(baseline, true, "whether to run the baseline as well as the product");
DEFINE_string(only, "", "tenant of the one deployment to run");

namespace {

using namespace baobabtrail::bench;

void print(const std::string &workspace, const std::string &way, const Report &report)
{
    double worst = 0;
    for (const double seconds : report.timesToForce)
        worst = std::max(worst, seconds);
    std::printf("| %s | %s | %ld / %ld / %ld | %.2f | %.2f | %.3f | %.0f / %.0f / %.0f "
                "| %ld / %ld / %ld | %ld | %ld | %.1f |\n",
                workspace.c_str(), way.c_str(), report.flowsOpened, report.flowsOpen,
                report.flowsBroken, report.flowImbalance, report.requestImbalance,
                report.weightAnswered / std::max(1.0, report.weightSent), report.p50, report.p99,
                report.p999, report.answered, report.notRun, report.unknown, report.duplicates,
                report.wrongData, worst);
    std::fflush(stdout);
}

} // namespace

int main(int argc, char **argv)
{
    baobabtrail::readFlags(argc, argv,
                           "bench-whole [flags]: runs both users' deployments as real processes");
    RunPlan run;
    run.scale = FLAGS_scale;
    std::printf("| deployment | placement | flows opened / open / broken | imbalance of flows "
                "| imbalance of requests | answered, urgent doubled | ms, p50 / p99 / p99.9 "
                "| answered / not run / unknown | run twice | data of another service "
                "| in force, s, worst |\n|---|---|---|---|---|---|---|---|---|---|---|\n");
    try {
        for (const DeploymentPlan &plan : {alexandria(), vitiLevu()}) {
            if (!FLAGS_only.empty() && FLAGS_only != plan.workspace)
                continue;
            print(plan.workspace, "baobabtrail", Run{plan, run, "baobabtraild"}());
            if (FLAGS_baseline)
                print(plan.workspace, "random", Run{plan, run, "bench-random-daemon"}());
        }
    } catch (const std::exception &error) {
        std::fprintf(stderr, "bench-whole: %s\n", error.what());
        return 1;
    }
    return 0;
}
