#include "core/limits/admission_queue.h"

#include "core/limits/impl/queue_lanes.h"

#include <boost/random/uniform_real_distribution.hpp>

#include <algorithm>
#include <cmath>

namespace baobabtrail {

namespace {

constexpr double RunTimeGain = 0.1;
constexpr Duration MinRetryAfter = 10ms;
constexpr Duration MaxRetryAfter = 5s;
constexpr double RefusalDecaySeconds = 1.0;

} // namespace

class AdmissionQueue::Impl
{
public:
    explicit Impl(std::size_t wanted)
        : capacity(wanted)
    {
    }

    [[nodiscard]] Duration expectedWait(std::size_t ahead) const noexcept;
    [[nodiscard]] std::optional<QueueRefusal> refusalIfTooLate(const QueueEntry &entry,
                                                               TimePoint now) const;
    [[nodiscard]] bool makeRoom(const QueueEntry &entry, std::optional<QueueEntry> &displaced);
    [[nodiscard]] QueueRefusal refuse(RefusalCause cause, TimePoint now, Random &random);
    [[nodiscard]] Duration retryAfter(Random &random) const;

    std::size_t capacity;
    impl::QueueLanes lanes;
    double meanRunMicros = 0; ///< Moving average of an attempt's run time; 0 before the first.
    double slots = 1;
    double refusals = 0; ///< Recent refusals; decays over RefusalDecaySeconds.
    TimePoint refusalsAt{};
};

Duration AdmissionQueue::Impl::expectedWait(std::size_t ahead) const noexcept
{
    return Duration{
        static_cast<Duration::rep>(meanRunMicros / slots * static_cast<double>(ahead + 1))};
}

std::optional<QueueRefusal> AdmissionQueue::Impl::refusalIfTooLate(const QueueEntry &entry,
                                                                   TimePoint now) const
{
    // If enqueued, such a request would occupy a place until its deadline and then fail: its caller
    // would wait in vain, and another request would be refused because of it.
    const std::size_t ahead = lanes.ahead(entry);
    if (now + (ahead > 0 ? expectedWait(ahead) : Duration{0}) < entry.deadline)
        return std::nullopt;
    return QueueRefusal{RefusalCause::DeadlinePassed, Duration{0}};
}

bool AdmissionQueue::Impl::makeRoom(const QueueEntry &entry, std::optional<QueueEntry> &displaced)
{
    if (lanes.size() < capacity)
        return true;
    displaced = lanes.evictNewestOfLowerClass(entry.requestClass);
    // A workspace that floods the queue fills every place; others displace its entries until they
    // have their shares.
    if (!displaced)
        displaced = lanes.evictNewestOfHeaviestWorkspace(entry);
    return displaced.has_value();
}

QueueRefusal AdmissionQueue::Impl::refuse(RefusalCause cause, TimePoint now, Random &random)
{
    const double passed = std::chrono::duration<double>(now - refusalsAt).count();
    refusals = refusals * std::exp(-passed / RefusalDecaySeconds) + 1.0;
    refusalsAt = now;
    return {cause, retryAfter(random)};
}

Duration AdmissionQueue::Impl::retryAfter(Random &random) const
{
    // Retries are spread over the time that serving all refused requests would take. After a fixed
    // wait all callers would retry at the same instant and be refused again (thundering herd).
    const double perEntry = meanRunMicros / slots;
    const double drain = perEntry * static_cast<double>(lanes.size());
    const double shortest = std::max(drain, static_cast<double>(MinRetryAfter.count()));
    const double longest = 2 * shortest + perEntry * refusals;
    boost::random::uniform_real_distribution<double> spread{shortest, longest};
    const Duration wait{static_cast<Duration::rep>(spread(random))};
    return std::min(wait, MaxRetryAfter);
}

AdmissionQueue::AdmissionQueue(std::size_t capacity)
    : m_impl(std::make_unique<Impl>(capacity))
{
}

AdmissionQueue::~AdmissionQueue() = default;
AdmissionQueue::AdmissionQueue(AdmissionQueue &&) noexcept = default;
AdmissionQueue &AdmissionQueue::operator=(AdmissionQueue &&) noexcept = default;

void AdmissionQueue::setCapacity(std::size_t capacity) noexcept
{
    m_impl->capacity = capacity;
}

void AdmissionQueue::setWorkspaceWeight(const std::string &workspace, std::uint32_t weight)
{
    m_impl->lanes.setWeight(workspace, weight);
}

std::optional<QueueRefusal> AdmissionQueue::push(const QueueEntry &entry, TimePoint now,
                                                 Random &random,
                                                 std::optional<QueueEntry> &displaced)
{
    displaced.reset();
    if (std::optional<QueueRefusal> late = m_impl->refusalIfTooLate(entry, now)) {
        if (entry.deadline > now)
            late = m_impl->refuse(RefusalCause::DeadlinePassed, now, random);
        return late;
    }
    if (!m_impl->makeRoom(entry, displaced)) {
        const bool overShare = m_impl->lanes.aboveShare(entry.workspace, m_impl->capacity);
        return m_impl->refuse(overShare ? RefusalCause::WorkspaceLimit : RefusalCause::Overload,
                              now, random);
    }
    m_impl->lanes.add(entry);
    return std::nullopt;
}

bool AdmissionQueue::setReady(const RequestId &request)
{
    return m_impl->lanes.setReady(request);
}

std::optional<QueueEntry> AdmissionQueue::pop(TimePoint now, std::vector<QueueEntry> &expired)
{
    m_impl->lanes.takeExpired(now, expired);
    return m_impl->lanes.takeNext();
}

bool AdmissionQueue::remove(const RequestId &request)
{
    return m_impl->lanes.remove(request);
}

void AdmissionQueue::slotFreed(Duration runTime, std::uint32_t slots, TimePoint) noexcept
{
    const auto sample = static_cast<double>(runTime.count());
    m_impl->meanRunMicros
        += (m_impl->meanRunMicros == 0 ? 1.0 : RunTimeGain) * (sample - m_impl->meanRunMicros);
    m_impl->slots = std::max(slots, 1U);
}

std::size_t AdmissionQueue::size() const noexcept
{
    return m_impl->lanes.size();
}

Duration AdmissionQueue::retryAfter(Random &random) const
{
    return m_impl->retryAfter(random);
}

} // namespace baobabtrail
