#pragma once

#include "request_run_impl.h"

#include "core/limits/admission_queue.h"
#include "core/targets/target_table.h"

#include <map>
#include <memory>
#include <vector>

namespace baobabtrail::bench {

/// \brief The product's placement: its TargetTable and AdmissionQueue on every daemon, with a
/// minimal simulation of the rest of the daemon.
class ProductPolicy
{
public:
    /// \param shared Whether a target with a free slot takes requests from the queues of the same
    /// daemon's other targets.
    explicit ProductPolicy(RequestRun &run, bool shared = true)
        : m_run(run)
        , m_shared(shared)
    {
    }

    void start()
    {
        m_config = configOf(m_run.layout);
        if (m_run.scenario.fault == Fault::ColdTarget)
            m_config.services[theService()].targets.erase(idOf(FaultyTarget));
        for (std::size_t i = 0; i < m_run.layout.targets; ++i)
            m_index[idOf(i)] = i;
        for (std::size_t i = 0; i < m_run.layout.daemons; ++i)
            m_daemons.push_back(std::make_unique<Daemon>());
        reconfigure(m_run.daemonUp);
        sayHello();
    }

    void faulted(Fault fault)
    {
        std::map<TargetId, TargetConfig> &targets = m_config.services[theService()].targets;
        switch (fault) {
        case Fault::ColdTarget:
            targets[idOf(FaultyTarget)] = targetOf(FaultyTarget, m_run.layout);
            reconfigure(m_run.daemonUp);
            return;
        case Fault::Drain:
            targets[idOf(FaultyTarget)].state = TargetState::Draining;
            reconfigure(m_run.daemonUp);
            return;
        case Fault::DaemonJoins:
            reconfigure(m_run.daemonUp);
            return;
        case Fault::DaemonDies:
            m_run.sim.after(m_run.scenario.viewDelay, [this] { reconfigure(m_run.daemonUp); });
            return;
        default:
            return;
        }
    }

    void arrive(const Job &job, std::size_t entry)
    {
        Ask ask;
        ask.job = job;
        ask.entry = entry;
        if (m_run.daemonUp[entry]) {
            route(entry, std::move(ask));
            return;
        }
        resend(job);
    }

private:
    static constexpr std::uint32_t MaxHops = 2;
    static constexpr Duration CallerOneWay = 1ms;
    static constexpr Duration CallerResend = 200ms;
    static constexpr Duration HelloPeriod = 3s;

    struct Ask
    {
        Job job;
        std::size_t entry = 0;
        std::uint32_t hops = 0;
        std::vector<LoadHint> declined;
    };
    struct Daemon
    {
        TargetTable table;
        std::map<TargetId, AdmissionQueue> queues;
        std::map<RequestId, Job> jobs; ///< Reserved or queued here.
    };

    [[nodiscard]] TargetId idOf(std::size_t target) const
    {
        return targetOf(target, m_run.layout).id;
    }

    void reconfigure(const std::vector<bool> &alive)
    {
        const auto config = std::make_shared<const Config>(m_config);
        for (std::size_t i = 0; i < m_daemons.size(); ++i) {
            if (!m_run.daemonUp[i])
                continue;
            Daemon &daemon = *m_daemons[i];
            daemon.table.configure(config, viewOf(i, m_run.layout, alive), m_run.sim.now());
            for (const TargetId target : daemon.table.owned())
                verify(i, target);
        }
    }

    void verify(std::size_t daemon, TargetId target)
    {
        m_daemons[daemon]->table.linkVerified(target, theService(), m_run.reportOf(m_index[target]),
                                              m_run.sim.now());
    }

    void sayHello()
    {
        m_run.sim.after(HelloPeriod, [this] {
            std::vector<Notice> notices;
            for (std::size_t i = 0; i < m_daemons.size(); ++i) {
                if (!m_run.daemonUp[i])
                    continue;
                for (const TargetId target : m_daemons[i]->table.owned())
                    verify(i, target);
                m_daemons[i]->table.advance(m_run.sim.now(), notices);
            }
            sayHello();
        });
    }

    void resend(const Job &job)
    {
        m_run.sim.after(CallerResend, [this, job] {
            if (m_run.sim.now() >= job.deadline) {
                m_run.lost(job);
                return;
            }
            arrive(job, m_run.someEntry());
        });
    }

    [[nodiscard]] Duration hop(std::size_t from, std::size_t to)
    {
        return m_run.hop(m_run.domainOfDaemon(from), m_run.domainOfDaemon(to));
    }

    void route(std::size_t at, Ask ask)
    {
        const std::optional<PlacementChoice> choice = m_daemons[at]->table.chooseForRequest(
            theService(), ask.job.id, ask.declined, m_run.sim.now(), m_run.sim.random);
        if (!choice) {
            settle(at, ask);
            return;
        }
        if (choice->own) {
            accept(at, choice->target, ask);
            return;
        }
        forward(at, daemonAt(choice->owner), choice->target, std::move(ask));
    }

    void forward(std::size_t from, std::size_t to, TargetId target, Ask ask)
    {
        if (m_run.measuring())
            ++m_run.result.hops;
        m_run.sim.after(hop(from, to), [this, to, target, ask = std::move(ask)]() mutable {
            if (!m_run.daemonUp[to]) {
                resend(ask.job);
                return;
            }
            handedOver(to, target, std::move(ask));
        });
    }

    void handedOver(std::size_t at, TargetId target, Ask ask)
    {
        TargetTable &table = m_daemons[at]->table;
        for (const LoadHint &hint : ask.declined)
            table.applyHint(hint, m_run.sim.now());
        const LoadHint load = table.loadOf(target, m_run.sim.now());
        const bool takes = table.takesWork(target, m_run.sim.now());
        if (takes && (load.requests < 1.0F || ask.hops >= MaxHops)) {
            accept(at, target, ask);
            return;
        }
        if (ask.hops >= MaxHops) {
            refuse(at, ask);
            return;
        }
        ++ask.hops;
        // A request handed over from another domain may reach a daemon that doesn't own the target.
        if (table.owns(target))
            ask.declined.push_back(load);
        route(at, std::move(ask));
    }

    /// \brief Ends the search: queues the request at the target that declined it last, or refuses
    /// it if that target takes no work.
    void settle(std::size_t at, const Ask &ask)
    {
        if (!ask.declined.empty()
            && m_daemons[at]->table.takesWork(ask.declined.back().target, m_run.sim.now())) {
            accept(at, ask.declined.back().target, ask);
            return;
        }
        refuse(at, ask);
    }

    void refuse(std::size_t at, const Ask &ask)
    {
        reply(at, ask, [this, job = ask.job] { m_run.refused(job); });
    }

    /// \brief Sends the reply through the entry daemon, with the loads of this daemon's targets as
    /// hints for it.
    void reply(std::size_t at, const Ask &ask, std::function<void()> atCaller)
    {
        std::vector<LoadHint> hints = ask.declined;
        for (const TargetId target : m_daemons[at]->table.owned())
            hints.push_back(m_daemons[at]->table.loadOf(target, m_run.sim.now()));
        const std::size_t entry = ask.entry;
        m_run.sim.after(at == entry ? Duration{0} : hop(at, entry),
                        [this, entry, hints, atCaller = std::move(atCaller)] {
                            if (!m_run.daemonUp[entry])
                                return;
                            for (const LoadHint &hint : hints)
                                m_daemons[entry]->table.applyHint(hint, m_run.sim.now());
                            atCaller();
                        });
    }

    [[nodiscard]] AdmissionQueue &queueOf(std::size_t at, TargetId target)
    {
        const std::size_t capacity = std::size_t{m_run.layout.slots} * ServiceLimits{}.queuePerSlot;
        return m_daemons[at]->queues.try_emplace(target, capacity).first->second;
    }

    void accept(std::size_t at, TargetId target, const Ask &ask)
    {
        AdmissionQueue &queue = queueOf(at, target);
        const Job &job = ask.job;
        const QueueEntry entry{job.id,       job.requestClass, job.workspace,
                               job.deadline, m_run.sim.now(),  false};
        std::optional<QueueEntry> displaced;
        if (queue.push(entry, m_run.sim.now(), m_run.sim.random, displaced)) {
            refuse(at, ask);
            return;
        }
        if (displaced)
            dropped(at, target, displaced->request);
        m_daemons[at]->jobs[job.id] = job;
        ++m_run.targets[m_index[target]].assigned;
        waitingChanged(at, target);
        reply(at, ask, [this, at, target, id = job.id] { reserved(at, target, id); });
    }

    void dropped(std::size_t at, TargetId target, const RequestId &id)
    {
        m_run.refused(m_daemons[at]->jobs[id]);
        m_daemons[at]->jobs.erase(id);
        --m_run.targets[m_index[target]].assigned;
    }

    /// \brief Gives the caller its reservation; the caller then sends the data to the owner through
    /// any daemon.
    void reserved(std::size_t at, TargetId target, const RequestId &id)
    {
        const std::size_t through = m_run.someEntry();
        const Duration last = through == at ? Duration{0} : hop(through, at);
        m_run.sim.after(2 * CallerOneWay + last, [this, at, target, id] {
            if (!m_run.daemonUp[at]) {
                m_run.lost(m_daemons[at]->jobs[id]);
                --m_run.targets[m_index[target]].assigned;
                return;
            }
            if (!queueOf(at, target).setReady(id))
                return;
            pump(at, target);
            for (const TargetId other : m_daemons[at]->table.owned()) {
                if (m_shared && queueOf(at, target).size() > 0)
                    pump(at, other);
            }
        });
    }

    void waitingChanged(std::size_t at, TargetId target)
    {
        m_daemons[at]->table.setWaiting(target,
                                        static_cast<std::uint32_t>(queueOf(at, target).size()));
    }

    void pump(std::size_t at, TargetId target)
    {
        Daemon &daemon = *m_daemons[at];
        while (daemon.table.slotFree(target, m_run.sim.now())) {
            std::optional<RequestId> next = takeFrom(at, target);
            if (!next && m_shared)
                next = takeFromOthers(at, target);
            if (!next)
                break;
            dispatch(at, target, *next);
        }
    }

    [[nodiscard]] std::optional<RequestId> takeFrom(std::size_t at, TargetId target)
    {
        std::vector<QueueEntry> expired;
        const std::optional<QueueEntry> next = queueOf(at, target).pop(m_run.sim.now(), expired);
        for (const QueueEntry &entry : expired)
            dropped(at, target, entry.request);
        waitingChanged(at, target);
        return next ? std::optional{next->request} : std::nullopt;
    }

    [[nodiscard]] std::optional<RequestId> takeFromOthers(std::size_t at, TargetId target)
    {
        for (const auto &[other, queue] : m_daemons[at]->queues) {
            if (other == target || queue.size() == 0)
                continue;
            const std::optional<RequestId> next = takeFrom(at, other);
            if (!next)
                continue;
            --m_run.targets[m_index[other]].assigned;
            ++m_run.targets[m_index[target]].assigned;
            return next;
        }
        return std::nullopt;
    }

    void dispatch(std::size_t at, TargetId target, const RequestId &id)
    {
        Daemon &daemon = *m_daemons[at];
        const Job job = daemon.jobs[id];
        daemon.jobs.erase(id);
        daemon.table.attemptStarted(target, m_run.sim.now());
        const TimePoint started = m_run.sim.now();
        const std::size_t index = m_index[target];
        const std::size_t near = m_run.domainOfDaemon(at);
        m_run.sim.after(m_run.hop(near, near), [this, at, target, index, job, started, near] {
            m_run.serve(index, job, [this, at, target, index, job, started, near] {
                const LoadReport report = m_run.reportOf(index);
                m_run.sim.after(m_run.hop(near, near), [this, at, target, job, started, report] {
                    ended(at, target, job, started, report);
                });
            });
        });
    }

    void ended(std::size_t at, TargetId target, const Job &job, TimePoint started,
               const LoadReport &report)
    {
        if (!m_run.daemonUp[at]) {
            m_run.lost(job);
            return;
        }
        const Duration ran = m_run.sim.now() - started;
        m_daemons[at]->table.attemptEnded(target, AttemptEnd::Done, ran, &report, m_run.sim.now());
        queueOf(at, target).slotFreed(ran, m_run.layout.slots, m_run.sim.now());
        m_run.answered(job);
        pump(at, target);
    }

    RequestRun &m_run;
    bool m_shared;
    Config m_config;
    std::map<TargetId, std::size_t> m_index;
    std::vector<std::unique_ptr<Daemon>> m_daemons;
};

} // namespace baobabtrail::bench
