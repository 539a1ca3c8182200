#pragma once

#include "core/targets/target_table.h"

#include <memory>
#include <vector>

namespace baobabtrail::test {

/// \brief A TargetTable of one daemon, with a service, its targets in one or two failure domains
/// and the daemons of the view.
class TargetTableFixture
{
public:
    explicit TargetTableFixture(std::size_t targets, std::size_t daemons = 1,
                                std::uint32_t slots = 2)
    {
        config.revision = Revision{1};
        service().id = serviceId("alexandria", "lending");
        for (std::size_t i = 0; i < targets; ++i)
            add(i, "raml", slots);
        view.self = DaemonId{1};
        view.domain = "raml";
        for (std::size_t i = 0; i < daemons; ++i)
            view.members.push_back(member(i + 1, "raml"));
        apply();
        verifyAll();
    }

    ServiceConfig &service() { return config.services[serviceId("alexandria", "lending")]; }
    [[nodiscard]] static ServiceId id() { return serviceId("alexandria", "lending"); }
    [[nodiscard]] static TargetId target(std::size_t index)
    {
        return targetId(id(), "t" + std::to_string(index));
    }
    TargetConfig &targetConfig(std::size_t index) { return service().targets[target(index)]; }

    void add(std::size_t index, const std::string &domain, std::uint32_t slots = 2)
    {
        TargetConfig &added = targetConfig(index);
        added.id = target(index);
        added.generation = Generation{1};
        added.name = "t" + std::to_string(index);
        added.domain = domain;
        added.slots = slots;
    }

    [[nodiscard]] static Member member(std::uint64_t daemon, const std::string &domain)
    {
        Member result;
        result.id = DaemonId{daemon};
        result.address = Endpoint{0x7f000001, static_cast<std::uint16_t>(7000 + daemon)};
        result.domain = domain;
        return result;
    }

    void apply()
    {
        table.configure(std::make_shared<const Config>(config), std::make_shared<const View>(view),
                        now);
    }

    void verifyAll()
    {
        for (const TargetId owned : table.owned())
            table.linkVerified(owned, id(), {}, now);
    }

    [[nodiscard]] std::optional<PlacementChoice> choose(const std::vector<LoadHint> &declined = {})
    {
        return table.chooseForRequest(id(), RequestId{1, ++requests}, declined, now, random);
    }

    [[nodiscard]] std::optional<PlacementChoice> chooseFlow(std::uint64_t flow,
                                                            std::uint32_t attempt = 0)
    {
        return table.chooseForFlow(id(), FlowId{flow}, attempt, {}, now, random);
    }

    void attempt(std::size_t index, AttemptEnd end, Duration runTime = 20ms,
                 const LoadReport *report = nullptr)
    {
        table.attemptStarted(target(index), now);
        now += runTime;
        table.attemptEnded(target(index), end, runTime, report, now);
    }

    [[nodiscard]] TargetHealth health(std::size_t index)
    {
        return table.status(target(index), now)->health;
    }

    Config config;
    View view;
    TargetTable table;
    TimePoint now = TimePoint{} + 1h;
    Random random{7};
    std::uint64_t requests = 0;
};

} // namespace baobabtrail::test
