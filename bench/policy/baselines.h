#pragma once

#include "request_run_impl.h"

#include <limits>
#include <vector>

namespace baobabtrail::bench {

enum class Baseline {
    Random,
    TwoLocalCounts, ///< The less loaded of two random targets, by this daemon's jobs in progress.
    ShortestQueue,  ///< The shortest queue of all, with perfect and immediate knowledge.
};

/// \brief Placement policies without target owners: the entry daemon sends the job to a target
/// itself as soon as the caller has its reservation. The target's queue has the capacity that an
/// owner's queue would have.
class BaselinePolicy
{
public:
    BaselinePolicy(RequestRun &run, Baseline kind)
        : m_run(run)
        , m_kind(kind)
        , m_out(run.layout.daemons, std::vector<std::uint32_t>(run.layout.targets, 0))
    {
    }

    void start() {}
    void faulted(Fault) {}

    void arrive(const Job &job, std::size_t entry)
    {
        m_run.sim.after(CallerRoundTrip, [this, job, entry] { place(job, entry); });
    }

private:
    static constexpr Duration CallerRoundTrip = 2ms;
    static constexpr std::uint32_t QueuePerSlot = 4;

    void place(const Job &job, std::size_t entry)
    {
        if (!m_run.daemonUp[entry])
            entry = m_run.someEntry();
        if (!m_run.daemonUp[entry]) {
            m_run.lost(job);
            return;
        }
        const std::size_t target = choose(entry);
        FakeTarget &server = m_run.targets[target];
        if (server.assigned >= server.slots * (1 + QueuePerSlot)) {
            m_run.refused(job);
            return;
        }
        ++server.assigned;
        ++m_out[entry][target];
        const std::size_t near = m_run.domainOfDaemon(entry);
        const std::size_t far = m_run.domainOfTarget(target);
        m_run.sim.after(m_run.hop(near, far), [this, job, entry, target, near, far] {
            m_run.serve(target, job, [this, job, entry, target, near, far] {
                m_run.sim.after(m_run.hop(far, near), [this, job, entry, target] {
                    --m_out[entry][target];
                    m_run.answered(job);
                });
            });
        });
    }

    [[nodiscard]] std::size_t anyTarget()
    {
        for (;;) {
            const std::size_t target = m_run.sim.below(m_run.layout.targets);
            if (m_run.targets[target].placeable)
                return target;
        }
    }

    [[nodiscard]] std::size_t choose(std::size_t entry)
    {
        if (m_kind == Baseline::Random)
            return anyTarget();
        if (m_kind == Baseline::TwoLocalCounts) {
            const std::size_t one = anyTarget();
            const std::size_t other = anyTarget();
            return m_out[entry][other] < m_out[entry][one] ? other : one;
        }
        return shortest();
    }

    [[nodiscard]] std::size_t shortest()
    {
        std::size_t best = 0;
        double least = std::numeric_limits<double>::infinity();
        for (std::size_t i = 0; i < m_run.targets.size(); ++i) {
            const FakeTarget &server = m_run.targets[i];
            if (!server.placeable)
                continue;
            const double load = server.assigned + m_run.sim.uniform(0, 0.5);
            if (load >= least)
                continue;
            least = load;
            best = i;
        }
        return best;
    }

    RequestRun &m_run;
    Baseline m_kind;
    std::vector<std::vector<std::uint32_t>> m_out;
};

} // namespace baobabtrail::bench
