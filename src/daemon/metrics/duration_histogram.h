#pragma once

#include "core/time.h"
#include "daemon/metrics/exposition.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>

#include <array>
#include <cstdint>
#include <vector>

namespace baobabtrail::daemon {

/// The quantiles that DurationHistogram estimates.
inline constexpr std::array Quantiles{0.5, 0.9, 0.99};

/// \brief A histogram of durations: logarithmic buckets for the metrics page, and the mean and
/// estimated quantiles for reports to people.
///
/// Memory is constant: it doesn't grow with the number of values.
class DurationHistogram
{
public:
    DurationHistogram();

    void add(Duration duration);

    [[nodiscard]] std::uint64_t count() const noexcept;
    /// \return The mean; 0 if no value was added yet.
    [[nodiscard]] Duration mean() const;
    /// \param index Into Quantiles.
    /// \return The estimate; 0 if no value was added yet.
    [[nodiscard]] Duration quantile(std::size_t index) const;

    /// \brief Writes cumulative buckets, sum and count as samples of the page's current family, in
    /// seconds.
    void write(Exposition &page, const Labels &labels) const;

private:
    using LogAxis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Buckets = boost::histogram::histogram<std::tuple<LogAxis>,
                                                boost::histogram::dense_storage<std::uint64_t>>;
    using Summary = boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::mean,
                                   boost::accumulators::tag::extended_p_square>>;

    Buckets m_buckets;
    Summary m_summary;
    Duration m_sum{0};
};

} // namespace baobabtrail::daemon
