#pragma once

#include "core/evidence/evidence.h"
#include "core/impl/hash.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace baobabtrail {

/// \brief The targets that this daemon probes on the word of others.
///
/// Daemons know their number, but not each other. Each takes the targets whose hash with its own
/// id is small enough, so that every target has about \a ProbersPerTarget daemons, whatever the
/// number of daemons and targets, and they differ from target to target.
class ProbeShare
{
public:
    /// Two have to find a target silent, and a random choice may give one fewer, or two.
    static constexpr double ProbersPerTarget = 4;

    ProbeShare() = default;
    /// \param daemons Of this failure domain; 0 where unknown, and then nothing is taken.
    ProbeShare(ReporterId self, double daemons) noexcept
        : m_self(self)
        , m_share(daemons > 0 ? std::min(1.0, ProbersPerTarget / daemons) : 0)
    {
    }

    [[nodiscard]] bool isKnown() const noexcept { return m_share > 0; }
    [[nodiscard]] bool includes(TargetId target) const noexcept
    {
        if (m_share >= 1)
            return true;
        const std::uint64_t hash = impl::hashPair(target.value(), m_self.value());
        return std::ldexp(static_cast<double>(hash), -64) < m_share;
    }

private:
    ReporterId m_self;
    double m_share = 0;
};

} // namespace baobabtrail
