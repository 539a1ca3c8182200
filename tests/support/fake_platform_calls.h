#pragma once

#include "fake_platform.h"
#include "fake_watches.h"
#include "virtual_time.h"

#include <functional>
#include <utility>

namespace baobabtrail::test {

/// \brief Delivers calls to a FakePlatform and their replies, in virtual time and with faults.
class FakePlatformCalls
{
public:
    using Reply = std::function<void(PlatformResult)>;
    using Reachable = std::function<bool()>;

    static constexpr Duration Timeout = 3s;
    static constexpr Duration SlowWay = 1200ms;

    FakePlatformCalls(FakePlatform &platform, VirtualTime &time)
        : m_platform(platform)
        , m_time(time)
    {
    }

    Duration retryAfter = 1s; ///< Retry delay in the answer to a rate-limited call.

    /// \param way Time from the caller to the platform.
    /// \param isReachable Returns whether the platform can be reached; called when the reply to a
    /// watch is due.
    void call(const PlatformRequest &request, PlatformFault how, Duration way, Reply reply,
              const Reachable &isReachable)
    {
        switch (how) {
        case PlatformFault::Down:
            return timeOut(std::move(reply));
        case PlatformFault::RateLimited:
            return replyAfter(way, std::move(reply), PlatformFailure{"too many calls", retryAfter});
        case PlatformFault::ReplyLost:
            (void)perform(request);
            return timeOut(std::move(reply));
        case PlatformFault::WriteDelayed:
            after(Timeout + 2s, [this, request] { (void)perform(request); });
            return timeOut(std::move(reply));
        default:
            break;
        }
        if (const auto *watch = std::get_if<WatchObjects>(&request))
            return wait(*watch, how, std::move(reply), isReachable);
        if (how == PlatformFault::Slow)
            way = SlowWay;
        after(way, [this, request, way, reply = std::move(reply)] {
            replyAfter(way, reply, perform(request));
        });
    }

private:
    void after(Duration time, std::function<void()> run)
    {
        m_time.at(m_time.now() + time, std::move(run));
    }
    void replyAfter(Duration time, const Reply &reply, PlatformResult result)
    {
        after(time, [reply, result = std::move(result)] { reply(result); });
    }
    void timeOut(const Reply &reply)
    {
        replyAfter(Timeout, reply, PlatformFailure{"timed out", Duration{0}});
    }
    [[nodiscard]] PlatformResult perform(const PlatformRequest &request)
    {
        PlatformResult result = m_platform.perform(request);
        after(Duration{0}, [this] { m_watches.answerChanged(m_platform); });
        return result;
    }
    void wait(const WatchObjects &watch, PlatformFault how, const Reply &reply,
              const Reachable &isReachable)
    {
        const auto answer = [this, reply, isReachable](ObjectList list) {
            if (isReachable())
                replyAfter(2ms, reply, std::move(list));
            else
                timeOut(reply);
        };
        const std::uint64_t number = m_watches.add(watch, how, answer);
        after(2ms, [this] { m_watches.answerChanged(m_platform); });
        after(watch.wait, [this, number] { m_watches.expire(number); });
    }

    FakePlatform &m_platform;
    VirtualTime &m_time;
    FakeWatches m_watches;
};

} // namespace baobabtrail::test
