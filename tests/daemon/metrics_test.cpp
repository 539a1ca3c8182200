#include "daemon/metrics/metrics.h"

#include <string>

#include <criterion/criterion.h>

using namespace baobabtrail;
using namespace baobabtrail::daemon;

namespace {

[[nodiscard]] Config configOf(int workspaces)
{
    Config config;
    for (int number = 0; number < workspaces; ++number) {
        const std::string name = "tenant" + std::to_string(number);
        config.workspaces[name] = WorkspaceConfig{name, {}};
        ServiceConfig service;
        service.id = serviceId(name, "lending");
        service.workspace = name;
        config.services[service.id] = service;
    }
    return config;
}

[[nodiscard]] RequestObserved answered(int workspace, Duration total)
{
    RequestObserved observed;
    observed.service = serviceId("tenant" + std::to_string(workspace), "lending");
    observed.total = total;
    observed.queued = total / 2;
    return observed;
}

[[nodiscard]] bool contains(const std::string &page, const std::string &line)
{
    return page.find(line + "\n") != std::string::npos;
}

} // namespace

// Guards against metrics that grow without bound, with a thousand workspaces and with traffic for
// services that don't exist. Those beyond the bound share one entry, and no count is lost.
Test(metrics, workspacesBeyondTheBoundShareOneEntry)
{
    Metrics metrics{3};
    metrics.workspaces().configure(configOf(1000));
    cr_assert_eq(metrics.workspaces().size(), 3);
    for (int workspace = 0; workspace < 1000; ++workspace)
        metrics.workspaces().observe(answered(workspace, 10ms));
    metrics.workspaces().observe(FlowObserved{ServiceId{99}, FlowEvent::Opened, {}, {}});

    const std::string page = metrics.page({});
    const std::string requests = "baobabtrail_requests_total{tenant=\"";
    const std::string answer = "\",class=\"normal\",outcome=\"answered\"} ";
    cr_assert(contains(page, requests + "tenant0" + answer + "1"));
    cr_assert(contains(page, requests + "other" + answer + "997"));
    cr_assert(contains(page, "baobabtrail_flows_total{tenant=\"other\",event=\"opened\"} 1"));
    cr_assert(page.find("tenant500") == std::string::npos);

    metrics.workspaces().configure(configOf(1));
    cr_assert_eq(metrics.workspaces().size(), 1);
}

Test(metrics, histogramHoldsCountSumAndCumulativeBuckets)
{
    Metrics metrics{3};
    metrics.workspaces().configure(configOf(1));
    for (int round = 0; round < 1000; ++round)
        metrics.workspaces().observe(answered(0, round < 900 ? 10ms : 1s));
    metrics.workspaces().observe(answered(0, 1h));

    const std::string page = metrics.page({});
    const std::string labels = "{tenant=\"tenant0\",class=\"normal\"";
    const std::string name = "baobabtrail_request_seconds";
    cr_assert(contains(page, name + "_count" + labels + "} 1001"));
    cr_assert(contains(page, name + "_sum" + labels + "} 3709"));
    cr_assert(contains(page, name + "_bucket" + labels + ",le=\"0.017783\"} 900"));
    cr_assert(contains(page, name + "_bucket" + labels + ",le=\"1.778279\"} 1000"));
    cr_assert(contains(page, name + "_bucket" + labels + ",le=\"+Inf\"} 1001"));
}

Test(metrics, refusalsAreCountedByCauseAndLabelsAreEscaped)
{
    Metrics metrics{3};
    metrics.workspaces().configure(configOf(1));
    RequestObserved refused = answered(0, 0s);
    refused.outcome = RequestOutcome::NotRun;
    refused.refusal = RefusalCause::TargetShed;
    metrics.workspaces().observe(refused);
    const std::string page = metrics.page({});
    cr_assert(contains(page, "baobabtrail_request_refusals_total{tenant=\"tenant0\","
                             "class=\"normal\",cause=\"target_shed\"} 1"));

    Exposition escaped;
    escaped.family("a", "gauge", "b");
    escaped.sample({{"name", "x\"\\\ny"}}, 0.5);
    const std::string text = escaped.take();
    cr_assert_str_eq(text.c_str(), "# HELP a b\n# TYPE a gauge\na{name=\"x\\\"\\\\\\ny\"} 0.5\n");
}
