#include "core/direct/opening_copies.h"

#include "core/direct/waiting_segments.h"
#include "support/direct_fleet.h"
#include "support/verdicts.h"

#include <criterion/criterion.h>

#include <optional>
#include <set>
#include <vector>

using namespace baobabtrail;
using namespace baobabtrail::test;

namespace {

constexpr Duration AnswerTime = 3ms; ///< From a placement until its caller has the answer.
constexpr std::uint8_t Copies = 3;

/// \brief A daemon that stalls while a flow opens, another one that doesn't, and the fabric, which
/// takes the first one out of rotation for a while.
class StalledOpening
{
public:
    struct Times
    {
        Duration length{0}; ///< Of the stall, which begins at 0.
        Duration firstCopyAt{0};
        Duration leavesAt{0};     ///< When the stalled daemon leaves rotation.
        Duration returnsAfter{0}; ///< It wakes.
    };

    explicit StalledOpening(const Times &times)
        : m_times(times)
    {
        for (std::uint64_t id = 1; id <= 8; ++id) {
            m_stalled.add(id);
            m_other.add(id);
        }
    }

    /// \brief Sends copies until the flow is open or its caller gives up.
    void run()
    {
        for (std::uint8_t copy = 0; copy < Copies; ++copy) {
            const Duration at = m_times.firstCopyAt + openingSentAfter(copy);
            wakeBefore(at);
            if (m_openAt && *m_openAt <= at)
                break;
            send(copy, at);
        }
        wakeBefore(Duration::max());
    }

    /// \return Targets at which the flow was placed.
    [[nodiscard]] const std::set<TargetId> &placedAt() const noexcept { return m_placedAt; }
    /// \return Whether the flow was placed after it was open, or before another copy was sent.
    [[nodiscard]] bool placedTwice() const noexcept { return m_placements > 1; }
    /// \return Whether a copy reached a daemon that ran.
    [[nodiscard]] bool metRunningDaemon() const noexcept { return m_metRunningDaemon; }

private:
    [[nodiscard]] bool isStalled(Duration at) const
    {
        return at >= Duration{0} && at < m_times.length;
    }
    [[nodiscard]] bool isInRotation(Duration at) const
    {
        const Duration returnsAt = m_times.length + m_times.returnsAfter;
        return at < m_times.leavesAt || m_times.length <= m_times.leavesAt || at >= returnsAt;
    }

    void send(std::uint8_t copy, Duration at)
    {
        Segment segment = DirectFleet::opening(1, copy);
        segment.receivedAt = Start + at;
        if (!isInRotation(at)) {
            m_metRunningDaemon = true;
            handle(m_other, segment, at);
        } else if (isStalled(at)) {
            m_buffer.push_back(segment);
        } else {
            m_metRunningDaemon = true;
            handle(m_stalled, segment, at);
        }
    }

    void wakeBefore(Duration at)
    {
        if (at < m_times.length)
            return;
        for (const Segment &segment : std::exchange(m_buffer, {}))
            handle(m_stalled, segment, m_times.length);
    }

    void handle(DirectFleet &daemon, const Segment &segment, Duration at)
    {
        daemon.now = Start + at;
        const TargetId target = targetOf(daemon.route(segment));
        if (target.isNull())
            return;
        m_placements += m_placedAt.insert(target).second ? 1 : 0;
        m_openAt = std::min(m_openAt.value_or(at + AnswerTime), at + AnswerTime);
    }

    static constexpr TimePoint Start{1h};

    Times m_times;
    DirectFleet m_stalled{{}, 1};
    DirectFleet m_other{{}, 2};
    std::vector<Segment> m_buffer; ///< Of the stalled daemon's socket.
    std::optional<Duration> m_openAt;
    std::set<TargetId> m_placedAt;
    std::size_t m_placements = 0;
    bool m_metRunningDaemon = false;
};

[[nodiscard]] Segment receivedAt(Segment segment, TimePoint time)
{
    segment.receivedAt = time;
    return segment;
}

} // namespace

// Guards against flows with two targets: a daemon that wakes places an opening of before, while a
// later copy has opened the flow through another daemon, or is about to. Each length of the stall
// meets each moment of the opening and of the fabric's probes.
Test(openingCopies, aStallOfAnyLengthOpensNoFlowTwice)
{
    std::size_t twice = 0;
    std::size_t unopened = 0;
    for (Duration length = 200ms; length <= 3s; length += 100ms) {
        for (const Duration leavesAt : {500ms, 800ms, 1000ms, 1200ms, 1500ms}) {
            for (Duration first = -1400ms; first < length; first += 10ms) {
                StalledOpening opening{{length, first, leavesAt, 500ms}};
                opening.run();
                twice += opening.placedTwice();
                unopened += opening.metRunningDaemon() && opening.placedAt().empty();
            }
        }
    }
    cr_assert_eq(twice, 0, "%zu flows have two targets", twice);
    cr_assert_eq(unopened, 0, "%zu flows met a daemon that ran, and did not open", unopened);
}

Test(openingCopies, eachCopyMayWaitUntilTheNextOne)
{
    for (const auto &[copy, next] :
         {std::pair{std::uint8_t{0}, 200ms}, {std::uint8_t{1}, 400ms}, {std::uint8_t{2}, 800ms}}) {
        DirectFleet fleet;
        fleet.add(1);
        const Segment segment = receivedAt(DirectFleet::opening(1, copy), fleet.now);
        fleet.now += next - 60ms;
        cr_assert(!targetOf(fleet.route(segment)).isNull(), "copy %d", copy);
        fleet.now += 60ms;
        cr_assert(isDrop(fleet.route(segment)), "copy %d", copy);
        cr_assert(fleet.causes.back() == SegmentCause::Expired);
    }
}

// Guards against a reset of a flow that a later copy has opened: an old one finds no route any
// more.
Test(openingCopies, anOldOpeningIsNotRefused)
{
    DirectFleet fleet;
    fleet.add(1);
    const Segment segment = receivedAt(DirectFleet::opening(1), fleet.now);
    fleet.router().setRoutes(DirectFleet::routes(2, false));
    cr_assert(isAbort(fleet.route(segment)));
    fleet.now += 200ms;
    cr_assert(isDrop(fleet.route(segment)));
}

// Guards against openings that wait until the directory is complete, and are placed long after
// their callers' next copies.
Test(openingCopies, openingsThatWaitForTheDirectoryGrowOld)
{
    DirectFleet fleet;
    fleet.add(1);
    const TimePoint start = fleet.now;
    WaitingSegments waiting;
    (void)waiting.push(receivedAt(DirectFleet::opening(1), start), "", start);
    (void)waiting.push(receivedAt(DirectFleet::opening(2), start + 400ms), "", start + 400ms);
    (void)waiting.push(receivedAt(DirectFleet::opening(1, 1), start + 200ms), "", start + 200ms);
    fleet.now = start + 500ms;
    std::vector<bool> placed;
    for (const WaitingSegments::Waiting &each : waiting.take(fleet.now))
        placed.push_back(!targetOf(fleet.route(each.segment)).isNull());
    const std::vector<bool> expected{false, true, true};
    cr_assert(placed == expected);
}

// Guards against an opening that is held for a saturated target, and placed late: only requests on
// open flows are held.
Test(openingCopies, noOpeningIsHeld)
{
    DirectFleet fleet;
    auto table = std::make_shared<RouteTable>(*DirectFleet::routes(2));
    table->routes[DirectFleet::ServiceAddress].policy.latency = 200ms;
    fleet.router().setRoutes(table);
    fleet.add(1);
    const FlowLabel label = fleet.establish(0).label;
    for (std::uint32_t sent = 0; sent < 3000; sent += 100) {
        (void)fleet.route(DirectFleet::data(0, label, sent, 100, sent + 1));
        fleet.now += 190ms;
        (void)fleet.route(DirectFleet::data(0, label, sent + 100, 0, sent + 101));
    }
    const TargetWindow *window = fleet.router().gate().window(TargetId{1});
    cr_assert(window && window->limited());
    for (std::uint16_t caller = 1; caller < 50; ++caller)
        cr_assert(!targetOf(fleet.route(DirectFleet::opening(caller))).isNull());
    cr_assert_eq(fleet.router().gate().held(), 0);
}
