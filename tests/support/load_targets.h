#pragma once

#include "core/random.h"
#include "support/load_pattern.h"
#include "support/virtual_time.h"

#include <boost/random/lognormal_distribution.hpp>

#include <cmath>
#include <deque>
#include <functional>
#include <set>
#include <utility>
#include <vector>

namespace baobabtrail::test {

/// \brief The targets of a LoadReplay, with slots and bounded queues.
class LoadTargets
{
public:
    static constexpr Duration Hop = 2ms;

    /// \param answered Called when the caller of a request has the answer, or the refusal where it
    /// did not run.
    LoadTargets(const LoadPattern &pattern, VirtualTime &time, Random &random,
                std::function<void(std::uint64_t request, bool ran)> answered)
        : m_pattern(pattern)
        , m_time(time)
        , m_random(random)
        , m_answered(std::move(answered))
        , m_targets(pattern.targets)
    {
    }

    void silence(std::size_t index) { m_targets[index].silent = true; }
    [[nodiscard]] bool isSilent(std::size_t index) const { return m_targets[index].silent; }
    /// \return Requests that ran more than once.
    [[nodiscard]] std::size_t twice() const noexcept { return m_twice; }

    /// \brief A request arrives. \return Whether it is accepted.
    bool arrive(std::size_t index, std::uint64_t request)
    {
        Target &target = m_targets[index];
        if (target.busy < m_pattern.slots) {
            work(index, request);
        } else if (target.waiting.size() < m_pattern.queue) {
            target.waiting.push_back(request);
        } else {
            m_time.after(m_pattern.refusalTakes, [this, request] { m_answered(request, false); });
            return false;
        }
        return true;
    }

private:
    static constexpr double WorkSpread = 0.5;

    struct Target
    {
        bool silent = false;
        std::size_t busy = 0;
        std::deque<std::uint64_t> waiting;
        std::set<std::uint64_t> ran;
    };

    void work(std::size_t index, std::uint64_t request)
    {
        Target &target = m_targets[index];
        ++target.busy;
        m_twice += !target.ran.insert(request).second;
        const double mean = std::chrono::duration<double>(m_pattern.work).count();
        boost::random::lognormal_distribution<double> draw{
            std::log(mean) - WorkSpread * WorkSpread / 2, WorkSpread};
        const auto took = std::chrono::duration<double>(draw(m_random));
        m_time.after(std::chrono::duration_cast<Duration>(took), [this, index, request] {
            Target &done = m_targets[index];
            --done.busy;
            if (!done.waiting.empty()) {
                const std::uint64_t next = done.waiting.front();
                done.waiting.pop_front();
                work(index, next);
            }
            if (!done.silent)
                m_time.after(Hop, [this, request] { m_answered(request, true); });
        });
    }

    const LoadPattern &m_pattern;
    VirtualTime &m_time;
    Random &m_random;
    std::function<void(std::uint64_t, bool)> m_answered;
    std::vector<Target> m_targets;
    std::size_t m_twice = 0;
};

} // namespace baobabtrail::test
