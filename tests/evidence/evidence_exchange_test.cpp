#include "evidence/evidence_fleet.h"

#include <criterion/criterion.h>

using namespace baobabtrail;
using namespace baobabtrail::test;

namespace {

constexpr TargetId Target{77};
constexpr std::size_t Domain = 2;

void report(EvidenceFleet &fleet, TargetId target, std::size_t reporters)
{
    for (const std::size_t index : fleet.daemonsOf(Domain, reporters))
        fleet.at(index).observed(target, TargetSign::Silent);
}

/// \return Messages that one silent target costs, met by half of its domain's daemons.
[[nodiscard]] double messagesForEachDaemon(std::size_t daemons)
{
    EvidenceFleet fleet{daemons};
    fleet.time.run(3s);
    const std::uint64_t before = fleet.messages();
    report(fleet, Target, daemons / EvidenceFleet::Domains / 2);
    fleet.time.run(1s);
    return static_cast<double>(fleet.messages() - before) / static_cast<double>(daemons);
}

/// \return Time until all daemons of the domain avoid the target, after the second has met it.
[[nodiscard]] Duration timeUntilAvoided(EvidenceFleet &fleet)
{
    report(fleet, Target, 2);
    const TimePoint begin = fleet.time.now();
    fleet.time.runUntil(
        [&] {
            return fleet.avoiding(Target, Domain) == fleet.daemonsOf(Domain, fleet.size()).size();
        },
        2s);
    return fleet.time.now() - begin;
}

} // namespace

// Guards against each of many daemons finding a failed target by a request of its own callers.
Test(evidence_exchange, a_whole_domain_avoids_a_target_that_two_found_silent)
{
    for (const std::size_t daemons : {60U, 985U, 1970U}) {
        EvidenceFleet fleet{daemons};
        const Duration took = timeUntilAvoided(fleet);
        cr_assert(took < 1s, "%zu daemons: %ld us", daemons, static_cast<long>(took.count()));
        cr_assert_eq(fleet.avoiding(Target, Domain + 1), 0);
    }
}

// Guards against a daemon with a fault of its own that keeps targets out of use.
Test(evidence_exchange, one_reporter_condemns_no_target)
{
    EvidenceFleet fleet{60};
    report(fleet, Target, 1);
    fleet.time.run(1s);
    cr_assert_eq(fleet.avoiding(Target, Domain), 0);
    cr_assert(fleet.firstReported() > 0);
}

// Guards against messages that grow with the daemons that have met the target.
Test(evidence_exchange, a_silent_target_costs_each_daemon_the_same_at_four_times_the_daemons)
{
    const double few = messagesForEachDaemon(250);
    const double many = messagesForEachDaemon(1000);
    cr_assert(many <= 1.2 * few, "%g and %g", few, many);
    cr_assert(many <= 2.0 * EvidenceTable::MaxReporters, "%g", many);
}

// Guards against links that fill up while a whole part of the targets fails.
Test(evidence_exchange, many_silent_targets_fill_no_link)
{
    EvidenceFleet fleet{985};
    constexpr std::uint64_t targets = 300;
    for (std::uint64_t id = 1; id <= targets; ++id)
        report(fleet, TargetId{id}, 3);
    fleet.time.run(1s);
    constexpr std::uint64_t linkBytesPerSecond = 2'500'000;
    cr_assert(fleet.mostBytes() < linkBytesPerSecond / 10, "%lu", fleet.mostBytes());
    fleet.time.run(1s);
    for (std::uint64_t id = 1; id <= targets; ++id)
        cr_assert_eq(fleet.avoiding(TargetId{id}, Domain), 197);
}

// Guards against targets that stay out of use when their reporters have died.
Test(evidence_exchange, reports_end_by_their_age)
{
    EvidenceFleet fleet{60};
    cr_assert(timeUntilAvoided(fleet) < 1s);
    for (const std::size_t index : fleet.daemonsOf(Domain, 2))
        fleet.kill(index);
    fleet.time.run(7s);
    for (const std::size_t index : fleet.daemonsOf(Domain, 60)) {
        if (index != Domain && index != Domain + EvidenceFleet::Domains)
            cr_assert_not(fleet.at(index).isReportedSilent(Target));
    }
}

// Guards against a target that is used again while it is silent, as reports ended.
Test(evidence_exchange, repeated_reports_last_longer_each_time)
{
    EvidenceFleet fleet{60};
    for (int second = 0; second < 40; ++second) {
        report(fleet, Target, 2);
        fleet.time.run(1s);
        cr_assert_eq(fleet.avoiding(Target, Domain), 12, "%d", second);
    }
    cr_assert(fleet.at(Domain).counts().made <= 6, "%lu", fleet.at(Domain).counts().made);
}

// Guards against callers whose flows have to find that a target is back.
Test(evidence_exchange, a_response_to_any_daemon_ends_all_reports)
{
    EvidenceFleet fleet{60};
    cr_assert(timeUntilAvoided(fleet) < 1s);
    fleet.at(fleet.daemonsOf(Domain, 12).back()).observed(Target, TargetSign::Alive);
    fleet.time.run(500ms);
    cr_assert_eq(fleet.avoiding(Target, Domain), 0);
}

// Guards against lost datagrams that leave a part of the domain uninformed for good.
Test(evidence_exchange, lost_datagrams_delay_and_do_not_prevent)
{
    EvidenceFleet fleet{60};
    fleet.loss = 0.1;
    for (int second = 0; second < 12; ++second) {
        report(fleet, Target, 2);
        fleet.time.run(1s);
    }
    cr_assert(fleet.avoiding(Target, Domain) >= 11, "%zu", fleet.avoiding(Target, Domain));
}

// Guards against daemons that have just started and don't know what all others do.
Test(evidence_exchange, a_daemon_that_starts_is_told)
{
    EvidenceFleet fleet{60};
    const std::size_t late = fleet.daemonsOf(Domain, 12).back();
    fleet.kill(late);
    report(fleet, Target, 2);
    fleet.time.run(1500ms);
    fleet.start(late);
    cr_assert_not(fleet.at(late).isReportedSilent(Target));
    fleet.time.run(1100ms);
    cr_assert(fleet.at(late).isReportedSilent(Target));
}

// Guards against a report from before a restart that condemns the new process.
Test(evidence_exchange, a_restart_ends_what_was_observed_before)
{
    EvidenceFleet fleet{60};
    cr_assert(timeUntilAvoided(fleet) < 1s);
    EvidenceExchange &daemon = fleet.at(fleet.daemonsOf(Domain, 12).back());
    const std::vector<EvidenceReport> old = daemon.table().reports(10, fleet.time.now());
    cr_assert(old.size() >= 2);
    daemon.forget(Target);
    cr_assert_not(daemon.isReportedSilent(Target));
    daemon.handle({1, 1}, {old}, fleet.time.now());
    cr_assert_not(daemon.isReportedSilent(Target));
}

// Guards against a target that is kept out of use by reports that waited while this daemon stalled.
Test(evidence_exchange, a_report_that_waited_counts_as_old_as_it_is)
{
    EvidenceFleet fleet{60};
    cr_assert(timeUntilAvoided(fleet) < 1s);
    const std::vector<EvidenceReport> reports
        = fleet.at(fleet.daemonsOf(Domain, 12).back()).table().reports(10, fleet.time.now());
    const Duration lasts = EvidenceSettings{}.firstLasts;
    for (const Duration waited : {Duration{1s}, lasts}) {
        EvidenceFleet others{60};
        EvidenceExchange &daemon = others.at(others.daemonsOf(Domain, 12).back());
        others.time.run(lasts);
        daemon.handle({1, 1}, {reports}, others.time.now() - waited);
        cr_assert_eq(daemon.isReportedSilent(Target), waited < lasts);
        others.time.run(lasts - waited);
        daemon.expire();
        cr_assert_not(daemon.isReportedSilent(Target));
    }
}
