#include "daemon/metrics/duration_histogram.h"

#include <algorithm>
#include <cstddef>
#include <string>

namespace baobabtrail::daemon {

namespace {

constexpr unsigned BucketCount = 24; // Four for each power of ten.
constexpr double MinSeconds = 1e-4;
constexpr double MaxSeconds = 1e2;

[[nodiscard]] double seconds(Duration duration) noexcept
{
    return std::chrono::duration<double>(duration).count();
}

[[nodiscard]] Duration fromSeconds(double value) noexcept
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
}

} // namespace

DurationHistogram::DurationHistogram()
    : m_buckets(std::make_tuple(LogAxis{BucketCount, MinSeconds, MaxSeconds}))
    , m_summary(boost::accumulators::extended_p_square_probabilities = Quantiles)
{
}

void DurationHistogram::add(Duration duration)
{
    const double value = std::max(seconds(duration), 0.0);
    m_buckets(value);
    m_summary(value);
    m_sum += duration;
}

std::uint64_t DurationHistogram::count() const noexcept
{
    return boost::accumulators::count(m_summary);
}

Duration DurationHistogram::mean() const
{
    if (count() == 0)
        return Duration::zero();
    return fromSeconds(boost::accumulators::mean(m_summary));
}

Duration DurationHistogram::quantile(std::size_t index) const
{
    if (count() == 0)
        return Duration::zero();
    return fromSeconds(
        boost::accumulators::extended_p_square(m_summary)[static_cast<std::ptrdiff_t>(index)]);
}

void DurationHistogram::write(Exposition &page, const Labels &labels) const
{
    const auto &axis = m_buckets.axis(0);
    std::uint64_t upTo = 0;
    for (int index = -1; index < axis.size(); ++index) {
        upTo += m_buckets.at(index);
        Labels bucket = labels;
        const std::string bound = std::to_string(axis.value(index + 1));
        bucket.emplace_back("le", bound);
        page.sample("_bucket", bucket, static_cast<double>(upTo));
    }
    Labels all = labels;
    all.emplace_back("le", "+Inf");
    page.sample("_bucket", all, static_cast<double>(count()));
    page.sample("_sum", labels, seconds(m_sum));
    page.sample("_count", labels, static_cast<double>(count()));
}

} // namespace baobabtrail::daemon
