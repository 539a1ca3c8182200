#pragma once

#include "core/targets/impl/concurrency_limit.h"
#include "core/targets/impl/connection_count.h"
#include "core/targets/impl/health_tracker.h"
#include "core/targets/impl/hinted_load.h"
#include "core/targets/impl/token_bucket.h"
#include "core/targets/target_table.h"

#include <boost/unordered/unordered_flat_map.hpp>

#include <optional>
#include <vector>

namespace baobabtrail {

namespace impl {

inline constexpr double ReopensPerSecond = 20;
inline constexpr double ReopenBurst = 10;
inline constexpr double DaemonReopensPerSecond = 100;
inline constexpr double DaemonReopenBurst = 50;

/// \brief Everything that this daemon knows of one target.
struct TargetRecord
{
    TargetConfig config;
    ServiceId service;
    const Member *owner = nullptr;    ///< According to the view; null for none.
    bool own = false;                 ///< Owned by this daemon.
    bool local = false;               ///< In this daemon's failure domain.
    std::optional<TimePoint> addedAt; ///< Set where a later configuration than the first added it.

    HealthTracker healthTracker;
    ConcurrencyLimit limit;
    ConnectionCount connections;
    HintedLoad hinted;
    OwnerContact *contact = nullptr; ///< State of the owner, where that is another daemon.
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t offers = 0; ///< Opens that the target has not answered yet.
    double foreign = 0;       ///< Average of requests that it reports beyond this daemon's.
    LoadReport report;
    TimePoint reportAt = TimePoint::min();
    TimePoint noAheadUntil = TimePoint::min(); ///< No attempt is sent ahead of a slot until then.
    TimePoint aliveAt = TimePoint::min();      ///< Last message from it, at the owner or not.
    TokenBucket reopens{ReopensPerSecond, ReopenBurst};
    TargetHealth loggedHealth = TargetHealth::Good; ///< Health that was last written to the log.
};

/// \brief Targets of one service, by failure domain, and averages over them.
struct ServiceGroup
{
    std::vector<TargetRecord *> local;
    std::vector<TargetRecord *> remote; ///< In other failure domains.
    double averageRequests = 0.8;
    double averageFlows = 0;
    double averageRemoteRequests = 0.8;
    Duration decayTime = 20ms; ///< Of load hints: the average service time that this daemon saw.
    bool panicMode = false;    ///< Most targets look dead, so they are used all the same.
    bool spilling = false;

    /// \brief Retains the averages of the service's group under the previous configuration.
    void retainStatistics(const ServiceGroup &before)
    {
        averageRequests = before.averageRequests;
        averageFlows = before.averageFlows;
        averageRemoteRequests = before.averageRemoteRequests;
        decayTime = before.decayTime;
        spilling = before.spilling;
    }
};

} // namespace impl

class TargetTable::Impl
{
public:
    using Record = impl::TargetRecord;
    using Group = impl::ServiceGroup;

    void configure(ConfigPtr config, ViewPtr view, TimePoint now);

    [[nodiscard]] Record *find(TargetId target) noexcept;
    [[nodiscard]] const Record *find(TargetId target) const noexcept;
    [[nodiscard]] Record *findOwn(TargetId target) noexcept;
    [[nodiscard]] const Record *findOwn(TargetId target) const noexcept;
    [[nodiscard]] Group *group(ServiceId service) noexcept;
    [[nodiscard]] const Group *group(ServiceId service) const noexcept;

    // Owned targets.
    [[nodiscard]] bool takesWork(const Record &record, TimePoint now) const noexcept;
    [[nodiscard]] bool slotFree(const Record &record, TimePoint now) const noexcept;
    [[nodiscard]] bool takesFlow(const Record &record, TimePoint now) const noexcept;
    [[nodiscard]] std::uint32_t attemptsAllowed(const Record &record, TimePoint now) const noexcept;
    [[nodiscard]] LoadHint loadOf(const Record &record, TimePoint now) const noexcept;
    void applyReport(Record &record, const LoadReport &report, TimePoint now);
    [[nodiscard]] bool maySendAhead(const Record &record, TimePoint now) const noexcept;
    void recordOutcome(Record &record, AttemptEnd end, Duration runTime, std::uint32_t running,
                       TimePoint now);
    void updatePanicMode(Record &record, TimePoint now);
    [[nodiscard]] std::optional<TimePoint> due(const Record &record) const noexcept;

    // Placement.
    [[nodiscard]] std::optional<PlacementChoice>
    chooseForRequest(ServiceId service, const std::vector<LoadHint> &declined, TimePoint now,
                     Random &random);
    [[nodiscard]] std::optional<PlacementChoice>
    chooseForFlow(ServiceId service, FlowId flow, std::uint32_t attempt,
                  const std::vector<LoadHint> &declined, TimePoint now, Random &random);
    void applyHint(const LoadHint &hint, TimePoint now);

    [[nodiscard]] std::optional<Duration> reopenDelay(TargetId target, std::uint32_t unanswered,
                                                      TimePoint now, Random &random);
    void advance(TimePoint now, std::vector<Notice> &notices);

    ViewPtr view;
    ConfigPtr config;
    boost::unordered_flat_map<TargetId, std::unique_ptr<Record>> records;
    boost::unordered_flat_map<ServiceId, Group> groups;
    /// Owned targets and their services. Timed work concerns only these: a daemon owns about seven
    /// of the thousands of targets that it knows.
    std::vector<Record *> ownRecords;
    std::vector<Group *> ownGroups;
    std::map<DaemonId, impl::OwnerContact> contacts;
    std::map<std::string, View> remoteViews; ///< Members of the other failure domains.

private:
    struct Scored
    {
        Record *record = nullptr;
        double load = 0;
    };

    void readRemoteViews();
    [[nodiscard]] const Member *ownerOf(const TargetConfig &target) const noexcept;
    [[nodiscard]] std::unique_ptr<Record> reuseOrCreate(std::unique_ptr<Record> old,
                                                        const TargetConfig &target,
                                                        ServiceId service,
                                                        std::optional<TimePoint> addedAt) const;
    void addToGroup(Group &serviceGroup, Record &record);
    void rebuildOwnLists();
    [[nodiscard]] bool reachable(const Record &record, TimePoint now) const noexcept;
    void collect(const Group &serviceGroup, const std::vector<LoadHint> &declined, TimePoint now);
    [[nodiscard]] static bool placeable(const Record &record,
                                        const std::vector<LoadHint> &declined) noexcept;
    [[nodiscard]] bool waitsAtOwnTarget(const std::vector<LoadHint> &declined) const noexcept;
    [[nodiscard]] double requestLoad(const Group &serviceGroup, const Record &record,
                                     TimePoint now) const noexcept;
    [[nodiscard]] double flowLoad(const Group &serviceGroup, const Record &record,
                                  TimePoint now) const noexcept;
    [[nodiscard]] Scored leastLoadedLocal(Group &serviceGroup,
                                          const std::vector<LoadHint> &declined, TimePoint now,
                                          Random &random);
    [[nodiscard]] Record *lessLoadedOfPair(const Group &serviceGroup, FlowId flow,
                                           std::uint32_t attempt, TimePoint now);
    [[nodiscard]] Scored leastLoadedOfSample(const Group &serviceGroup,
                                             const std::vector<Record *> &among, TimePoint now,
                                             Random &random) const;
    [[nodiscard]] Scored leastLoadedRemote(Group &serviceGroup,
                                           const std::vector<LoadHint> &declined, TimePoint now,
                                           Random &random);
    [[nodiscard]] static PlacementChoice chosen(const Record &record);
    void updateSpilling(Group &serviceGroup, double least) const noexcept;
    void updatePanicMode(Group &serviceGroup, TimePoint now) const noexcept;

    std::vector<Record *> m_candidates; ///< Reused between calls to save allocations.
    std::vector<Record *> m_remoteCandidates;
    std::vector<Scored> m_ranked;
    TimePoint m_advancedAt{};
    impl::TokenBucket m_reopens{impl::DaemonReopensPerSecond, impl::DaemonReopenBurst};
};

} // namespace baobabtrail
