#include "matrix/checks.h"

#include <cstdlib>
#include <string>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace baobabtrail;
using namespace baobabtrail::fake;

// Each cell injects one fault at one step, while a target drains and a daemon stops, and checks all
// invariants that callers rely on. A failing cell prints the command that runs it alone:
//     BAOBABTRAIL_CELL=fault/step[+fault/step]/seed build/release/test-matrix
// BAOBABTRAIL_SEEDS=n runs n times as many seeds, to find rarer event orders.

namespace {

[[nodiscard]] std::string nameOf(const std::vector<FaultInjection> &injections, std::uint64_t seed)
{
    std::string name;
    for (const FaultInjection &injection : injections) {
        name += name.empty() ? "" : "+";
        name += FaultNames.at(static_cast<std::size_t>(injection.fault));
        name += "/";
        name += StepNames.at(static_cast<std::size_t>(injection.step));
    }
    return name + "/" + std::to_string(seed);
}

/// \return Whether all invariants of the cell held, or it was not selected.
[[nodiscard]] bool passes(const std::vector<FaultInjection> &injections, std::uint64_t seed)
{
    const std::string name = nameOf(injections, seed);
    const char *selected = std::getenv("BAOBABTRAIL_CELL");
    if (selected && name != selected)
        return true;
    const std::vector<std::string> violations = Cell{injections, seed}.run();
    if (violations.empty())
        return true;
    cr_log_error(
        "cell %s: %zu violations; rerun with BAOBABTRAIL_CELL=%s build/release/test-matrix",
        name.c_str(), violations.size(), name.c_str());
    constexpr std::size_t MaxPrinted = 4;
    for (std::size_t i = 0; i < std::min(MaxPrinted, violations.size()); ++i)
        cr_log_error("    %s", violations[i].c_str());
    return false;
}

constexpr std::uint64_t SeedsPerCell = 2;
constexpr int PairBatches = 8;
constexpr std::uint64_t PairsPerBatch = 12;

[[nodiscard]] std::uint64_t seedFactor()
{
    const char *factor = std::getenv("BAOBABTRAIL_SEEDS");
    return factor ? std::stoull(factor) : 1;
}

} // namespace

ParameterizedTestParameters(matrix, everyFaultAtEveryStep)
{
    static std::array<int, FaultNames.size()> faults{};
    for (std::size_t i = 0; i < faults.size(); ++i)
        faults[i] = static_cast<int>(i);
    return cr_make_param_array(int, faults.data(), faults.size());
}

ParameterizedTest(int *fault, matrix, everyFaultAtEveryStep)
{
    int failed = 0;
    for (std::size_t step = 0; step < StepNames.size(); ++step) {
        for (std::uint64_t seed = 1; seed <= SeedsPerCell * seedFactor(); ++seed) {
            const FaultInjection injection{static_cast<Fault>(*fault), static_cast<Step>(step)};
            failed += passes({injection}, seed) ? 0 : 1;
        }
    }
    cr_assert(failed == 0, "%d cells of %s failed", failed, FaultNames.at(std::size_t(*fault)));
}

ParameterizedTestParameters(matrix, pairsOfFaults)
{
    static std::array<int, PairBatches> batches{};
    for (int i = 0; i < PairBatches; ++i)
        batches[std::size_t(i)] = i;
    return cr_make_param_array(int, batches.data(), batches.size());
}

// Two faults in one run, possibly the same one twice; the seed selects both and their steps.
ParameterizedTest(int *batch, matrix, pairsOfFaults)
{
    int failed = 0;
    const std::uint64_t pairs = PairsPerBatch * seedFactor();
    for (std::uint64_t i = 0; i < pairs; ++i) {
        const std::uint64_t seed = 1000 + static_cast<std::uint64_t>(*batch) * pairs + i;
        Random random(seed);
        const auto draw = [&](std::size_t count) {
            return boost::random::uniform_int_distribution<std::size_t>{0, count - 1}(random);
        };
        std::vector<FaultInjection> injections;
        for (int s = 0; s < 2; ++s) {
            const auto fault = static_cast<Fault>(1 + draw(FaultNames.size() - 1));
            injections.push_back({fault, static_cast<Step>(draw(StepNames.size()))});
        }
        failed += passes(injections, seed) ? 0 : 1;
    }
    cr_assert(failed == 0, "%d pairs failed", failed);
}

// Seeds outside the range of the suite, for one failure: a request dispatched to a target that had
// been shedding ended as unknown at its deadline, where "not run" is expected.
Test(matrix, regressionSeeds)
{
    cr_expect(passes({{Fault::TargetShedding, Step::Open}}, 32));
    cr_expect(passes({{Fault::TargetShedding, Step::Answer}}, 38));
}
