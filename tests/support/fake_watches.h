#pragma once

#include "fake_platform.h"

#include <functional>
#include <map>
#include <utility>

namespace baobabtrail::test {

/// \brief Watches that wait for changes at a FakePlatform.
class FakeWatches
{
public:
    using Answer = std::function<void(ObjectList)>;

    /// \return Identifier of the watch, for expire().
    std::uint64_t add(WatchObjects watch, PlatformFault fault, Answer answer)
    {
        m_waiting.emplace(++m_last, Waiting{std::move(watch), fault, std::move(answer)});
        return m_last;
    }

    /// \brief Answers the watches with changes to report.
    void answerChanged(const FakePlatform &platform)
    {
        for (auto entry = m_waiting.begin(); entry != m_waiting.end();) {
            ObjectList list = platform.newerThan(entry->second.watch);
            if (entry->second.fault == PlatformFault::WatchSkips && !list.objects.empty())
                list.objects.erase(list.objects.begin());
            if (list.objects.empty() || entry->second.fault == PlatformFault::WatchSilent) {
                ++entry;
                continue;
            }
            const Answer answer = std::move(entry->second.answer);
            entry = m_waiting.erase(entry);
            answer(std::move(list));
        }
    }

    /// \brief Answers a watch whose wait is over with an empty list, if it still waits.
    void expire(std::uint64_t number)
    {
        const auto over = m_waiting.extract(number);
        if (over)
            over.mapped().answer(ObjectList{{}, over.mapped().watch.after});
    }

private:
    struct Waiting
    {
        WatchObjects watch;
        PlatformFault fault;
        Answer answer;
    };

    std::map<std::uint64_t, Waiting> m_waiting;
    std::uint64_t m_last = 0;
};

} // namespace baobabtrail::test
