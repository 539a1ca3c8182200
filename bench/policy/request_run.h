#pragma once

#include "scenario.h"
#include "simulator.h"

#include "core/messages/request.h"

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace baobabtrail::bench {

/// \brief One request; the sequence of requests is the same for all policies.
struct Job
{
    RequestId id;
    TimePoint arrived;
    TimePoint deadline;
    RequestClass requestClass = RequestClass::Normal;
    std::string workspace = "school";
    double work = 1.0; ///< As a multiple of the mean service time.
};

/// \brief Simulated target: one server for each slot, with a short queue in front of them.
struct FakeTarget
{
    std::uint32_t slots = 2;
    std::uint32_t running = 0;
    std::uint32_t assigned = 0; ///< Running, queued here, or waiting at a daemon for this target.
    std::deque<std::function<void()>> queue;
    double slowness = 1.0;
    bool placeable = true;                             ///< In the configuration and not draining.
    bool owned = true;                                 ///< False while its owner is dead.
    std::deque<std::pair<TimePoint, LoadReport>> past; ///< Earlier reports, for delayed ones.
};

struct ClassResult
{
    std::uint64_t offered = 0;
    std::uint64_t refused = 0;
    std::uint64_t answered = 0;
};

/// \brief Results of one policy in one scenario.
struct RequestResult
{
    std::vector<double> latencies; ///< Milliseconds.
    std::vector<double> imbalance; ///< Maximum over mean of assigned requests, at each arrival.
    std::vector<double> atTarget;  ///< The same for the requests inside the targets.
    std::array<ClassResult, RequestClassCount> classes;
    std::map<std::string, ClassResult> workspaces;
    std::vector<double> refusalTimes; ///< Milliseconds from the request to the refusal.
    std::uint64_t lost = 0;           ///< Requests whose deadline passed or whose owner died.
    std::uint64_t hops = 0;           ///< Datagrams between daemons before the reservation.
    double goodput = 0;               ///< Answered work over the capacity of the targets.
};

/// \brief Simulation of one run: targets, arrivals and measurements. A policy places the jobs.
class RequestRun
{
public:
    RequestRun(const Scenario &scenario, const Layout &layout, std::uint64_t seed);

    template <typename Policy>
    RequestResult play(Policy &policy)
    {
        policy.start();
        scheduleFault([&policy](Fault fault) { policy.faulted(fault); });
        m_arrive = [&policy](const Job &job, std::size_t entry) { policy.arrive(job, entry); };
        scheduleArrival();
        sim.run(TimePoint{} + scenario.length);
        finish();
        return std::move(result);
    }

    [[nodiscard]] Duration hop(std::size_t fromDomain, std::size_t toDomain);
    [[nodiscard]] std::size_t domainOfDaemon(std::size_t daemon) const
    {
        return daemon % layout.domains;
    }
    [[nodiscard]] std::size_t domainOfTarget(std::size_t target) const
    {
        return target % layout.domains;
    }
    [[nodiscard]] std::size_t someEntry();
    [[nodiscard]] bool measuring() const;

    /// \brief Delivers the job to the target.
    /// \param done Called when the job has ended.
    void serve(std::size_t target, const Job &job, std::function<void()> done);
    [[nodiscard]] LoadReport reportOf(std::size_t target);
    void answered(const Job &job);
    void refused(const Job &job);
    void lost(const Job &job);

    Scenario scenario;
    Layout layout;
    Simulator sim;
    std::vector<FakeTarget> targets;
    std::vector<bool> daemonUp;   ///< Whether the daemon runs.
    std::vector<bool> daemonSeen; ///< Whether the fabric sends it packets.
    RequestResult result;

private:
    void scheduleArrival();
    void scheduleFault(const std::function<void(Fault)> &tell);
    void applyFault();
    void warmUp(std::size_t target, int step);
    void begin(std::size_t target, const Job &job, std::function<void()> done);
    void sample();
    void finish();
    [[nodiscard]] Job makeJob();

    Random m_jobs; ///< Separate from the simulator's, so that all policies get the same jobs.
    std::function<void(const Job &, std::size_t)> m_arrive;
    std::uint64_t m_count = 0;
    bool m_burst = false;
    TimePoint m_burstUntil{};
    double m_answeredWork = 0;
};

} // namespace baobabtrail::bench
