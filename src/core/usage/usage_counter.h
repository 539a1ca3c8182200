#pragma once

#include "core/usage/usage.h"

#include <cstddef>
#include <vector>

namespace baobabtrail {

/// \brief Counts the work that this daemon has at the targets, averaged over time.
///
/// A single reading would mislead: a daemon of many has no request at most targets most of the
/// time, and several in the moment after a retransmission.
class UsageCounter
{
public:
    /// Identifies the part of the work that a piece of it was counted in.
    using Part = std::size_t;

    explicit UsageCounter(std::string home)
        : m_home(std::move(home))
    {
    }

    /// \brief Sets the time of the calls that follow.
    void advance(TimePoint now) noexcept { m_now = now; }
    /// \return The part for work of a service at targets of a failure domain.
    [[nodiscard]] Part partOf(ServiceId service, const std::string &targets,
                              std::uint32_t priority);
    void began(Part part, bool movable);
    void ended(Part part, bool movable);
    /// \param took Time from the last byte of the request until its answer was acknowledged.
    void answered(Part part, Duration took);

    /// \brief Starts a new interval.
    /// \return Averages over the interval that ends now; only parts that had any work.
    [[nodiscard]] UsageTable take();

private:
    struct Count
    {
        UsageKey key;
        std::uint32_t movable = 0;
        std::uint32_t pinned = 0;
        TimePoint countedAt{};
        double movableSeconds = 0; ///< Integral over the interval.
        double pinnedSeconds = 0;
        std::uint32_t answers = 0;
        Duration answerTime{0};
    };

    void integrate(Count &count) const noexcept;

    std::string m_home;
    TimePoint m_now{};
    TimePoint m_since{};
    std::vector<Count> m_counts;
    std::map<UsageKey, Part> m_parts;
};

} // namespace baobabtrail
