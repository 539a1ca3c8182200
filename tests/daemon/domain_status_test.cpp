#include "daemon/admin/domain_status.h"

#include <map>

#include <criterion/criterion.h>

using namespace baobabtrail;
using namespace baobabtrail::daemon;

namespace {

[[nodiscard]] Endpoint recordsOf(std::uint64_t daemon)
{
    return {0x7f000001, static_cast<std::uint16_t>(9000 + daemon)};
}

[[nodiscard]] MemberUpdate member(std::uint64_t daemon, std::uint64_t revision)
{
    MemberUpdate update;
    update.daemon = DaemonId{daemon};
    update.records = recordsOf(daemon);
    update.revision = Revision{revision};
    return update;
}

[[nodiscard]] View viewOf(std::map<std::string, std::vector<std::uint64_t>> remote)
{
    View view;
    view.self = DaemonId{1};
    for (const auto &[domain, daemons] : remote) {
        for (const std::uint64_t daemon : daemons) {
            Member other;
            other.id = DaemonId{daemon};
            other.records = recordsOf(daemon);
            view.remote[domain].push_back(other);
        }
    }
    return view;
}

/// \brief Daemons that answer with the given status; all others don't answer.
struct Fleet
{
    std::map<Endpoint, DomainStatus> answers;
    std::vector<Endpoint> queried;

    [[nodiscard]] StatusFetch fetch()
    {
        return
            [this](const Endpoint &records, std::function<void(std::optional<DomainStatus>)> done) {
                queried.push_back(records);
                const auto found = answers.find(records);
                done(found == answers.end() ? std::nullopt : std::optional{found->second});
            };
    }
};

[[nodiscard]] DomainStatus statusOf(std::string domain, std::uint64_t revision,
                                    std::vector<MemberUpdate> members = {})
{
    return {std::move(domain), Revision{revision}, std::move(members), {}};
}

} // namespace

// The statement "wait" checks whether revision 7 is in force everywhere. This daemon learns of the
// members' revisions from pings, some seconds after they have it. Members that aren't known to have
// the revision must be queried, and the others must not.
Test(domainStatus, localMembersThatLagAreQueried)
{
    Fleet fleet;
    fleet.answers[recordsOf(2)] = statusOf("raml", 7);
    std::vector<DomainStatus> result;
    const auto local
        = statusOf("raml", 7, {member(1, 7), member(2, 5), member(3, 7), member(4, 6)});
    collectDomainStatus(local, viewOf({}), fleet.fetch(), [&](auto all) { result = all; });
    cr_assert_eq(result.size(), 1);
    const auto &members = result[0].members;
    cr_assert(members[1].revision == Revision{7});
    cr_assert(members[3].revision == Revision{6},
              "a member that does not answer keeps its last known revision");
    cr_assert((fleet.queried == std::vector<Endpoint>{recordsOf(2), recordsOf(4)}));
}

// The first daemons queried in another domain are dead, and a third domain is unreachable. Up to
// three daemons are queried in each domain; a domain without an answer must be omitted.
Test(domainStatus, otherDomainsAreQueriedUntilOneAnswers)
{
    Fleet fleet;
    fleet.answers[recordsOf(13)] = statusOf("agami", 7);
    fleet.answers[recordsOf(24)] = statusOf("smouha", 7);
    std::vector<DomainStatus> result;
    collectDomainStatus(statusOf("raml", 7, {member(1, 7)}),
                        viewOf({{"agami", {11, 12, 13}}, {"smouha", {21, 22, 23, 24}}}),
                        fleet.fetch(), [&](auto all) { result = all; });
    cr_assert_eq(result.size(), 2);
    cr_assert_str_eq(result[0].domain.c_str(), "agami");
    cr_assert_str_eq(result[1].domain.c_str(), "raml");
    cr_assert_eq(fleet.queried.size(), 6);
}
