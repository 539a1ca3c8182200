#include "support/direct_cluster.h"

#include <criterion/criterion.h>

using namespace baobabtrail;
using baobabtrail::test::DirectCluster;

namespace {

constexpr std::size_t Size = 24;
constexpr std::size_t Roots = 3;

/// \brief DirectNodes that send each other reports; the log of each is kept.
struct ReportingCluster
{
    explicit ReportingCluster(bool enabled = true)
    {
        DirectNodeSettings settings;
        settings.usage.enabled = enabled;
        const auto customize = [this](std::size_t index, DirectCallbacks &callbacks) {
            const Endpoint own{0x0A010000U + static_cast<std::uint32_t>(index), 9000};
            callbacks.sendUsage = [this, own](const Endpoint &to, const UsageMessage &report) {
                ++sent;
                // The cluster is made before its nodes send.
                cluster->time.after(DirectCluster::Hop, [this, own, to, report] {
                    const std::size_t receiver = to.address - 0x0A010000U;
                    if (!cut && cluster->node(receiver) && !cluster->frozen(receiver))
                        cluster->node(receiver)->handle(own, report, cluster->time.now());
                });
            };
            callbacks.onNotice = [this, index](const NodeNotice &notice) {
                if (const auto *contact = std::get_if<UsageContact>(&notice))
                    contacts.emplace_back(index, *contact);
            };
        };
        cluster = std::make_unique<DirectCluster>(Size, Roots, 1, customize, settings);
    }

    /// \return Daemons whose view holds all daemons.
    [[nodiscard]] std::size_t informed() const
    {
        std::size_t count = 0;
        for (std::size_t index = 0; index < Size; ++index) {
            const DirectNode *node = cluster->node(index);
            const UsageView *view = node ? node->usage().view() : nullptr;
            count += view && view->daemons == Size;
        }
        return count;
    }

    std::unique_ptr<DirectCluster> cluster;
    std::vector<std::pair<std::size_t, UsageContact>> contacts;
    std::uint64_t sent = 0;
    bool cut = false;
};

} // namespace

// The reports have to follow the tree that the directory takes, whatever it becomes.
Test(usageNodes, reportsFollowTheTreeOfTheDirectory)
{
    ReportingCluster reporting;
    reporting.cluster->time.run(20s);
    cr_assert_eq(reporting.informed(), Size, "%zu", reporting.informed());
    cr_assert_geq(reporting.contacts.size(), Size);
}

Test(usageNodes, killedDaemonIsNoLongerCounted)
{
    ReportingCluster reporting;
    reporting.cluster->time.run(20s);
    reporting.cluster->kill(5);
    reporting.cluster->time.run(30s);
    cr_assert_eq(reporting.cluster->node(0)->usage().view()->daemons, Size - 1);
    reporting.cluster->start(5);
    reporting.cluster->time.run(20s);
    cr_assert_eq(reporting.informed(), Size, "%zu", reporting.informed());
}

// A view that can no longer be renewed must end, and the log must say so.
Test(usageNodes, viewEndsWithoutReports)
{
    ReportingCluster reporting;
    reporting.cluster->time.run(20s);
    reporting.contacts.clear();
    reporting.cut = true;
    reporting.cluster->time.run(15s);
    std::size_t lost = 0;
    for (const auto &[index, contact] : reporting.contacts)
        lost += !contact.known;
    cr_assert_geq(lost, Size - Roots);
}

// A daemon that stalled must not place flows by what was true before.
Test(usageNodes, stalledDaemonDropsItsView)
{
    ReportingCluster reporting;
    reporting.cluster->time.run(20s);
    reporting.cluster->node(7)->processStalled(3s);
    cr_assert_null(reporting.cluster->node(7)->usage().view());
    reporting.cluster->time.run(10s);
    cr_assert_eq(reporting.informed(), Size, "%zu", reporting.informed());
}

// Switched off by its setting, nothing may be sent or known.
Test(usageNodes, disabledSendsNothing)
{
    ReportingCluster reporting{false};
    reporting.cluster->time.run(20s);
    cr_assert_eq(reporting.sent, 0);
    cr_assert_eq(reporting.informed(), 0);
}

// While no domain is full, the reports must change no choice: each new flow goes where it would go
// without them.
Test(usageNodes, choicesStayTheSameWithoutLoad)
{
    ReportingCluster with;
    ReportingCluster without{false};
    for (ReportingCluster *each : {&with, &without}) {
        for (std::uint64_t target = 1; target <= 8; ++target)
            each->cluster->store.put(DirectCluster::targetKey(target), "x ready");
        each->cluster->time.run(20s);
    }
    cr_assert_eq(with.informed(), Size);
    cr_assert_eq(without.informed(), 0);
    const auto place = [](ReportingCluster &in, std::uint16_t caller) {
        Segment opening;
        opening.flow = {{0x64400007, caller}, {0xC6120001, 443}};
        opening.opens = true;
        in.cluster->time.run(50ms);
        const auto verdict = in.cluster->node(6)->handle(opening, {});
        cr_assert(verdict && std::holds_alternative<DeliverSegment>(*verdict));
        return std::get<DeliverSegment>(*verdict).target;
    };
    for (std::uint16_t caller = 1; caller <= 100; ++caller)
        cr_assert(place(with, caller) == place(without, caller), "flow %u", caller);
}
