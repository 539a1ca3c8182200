#pragma once

#include "core/time.h"

#include <cstddef>

namespace baobabtrail {

/// \brief Bounds how often a daemon asks others.
///
/// Daemons that send one on to each other, or whose answers are all out of date, would have it ask
/// as fast as the network goes.
class QuestionPace
{
public:
    /// \return Whether another question may be asked now.
    [[nodiscard]] bool admit(TimePoint now) noexcept
    {
        if (now - m_began >= Span) {
            m_began = now;
            m_asked = 0;
        }
        return ++m_asked <= Most;
    }

private:
    static constexpr Duration Span = 1s;
    /// A daemon that starts asks down a tree of five levels, and changes may come fast.
    static constexpr std::size_t Most = 30;

    TimePoint m_began{};
    std::size_t m_asked = 0;
};

} // namespace baobabtrail
