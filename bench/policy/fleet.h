#pragma once

#include "core/config/config.h"
#include "core/membership/view.h"

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace baobabtrail::bench {

/// \brief Numbers of daemons, targets, slots and failure domains of one run.
struct Layout
{
    std::size_t targets = 14;
    std::uint32_t slots = 2;
    std::size_t daemons = 8;
    std::size_t domains = 1;
    std::uint64_t firstDaemon = 1; ///< Id of the first daemon; determines the targets' owners.
};

[[nodiscard]] inline ServiceId theService()
{
    return serviceId("alexandria", "lending");
}

[[nodiscard]] inline std::string domainOf(std::size_t index, const Layout &layout)
{
    return "domain" + std::to_string(index % layout.domains);
}

[[nodiscard]] inline TargetConfig targetOf(std::size_t index, const Layout &layout)
{
    TargetConfig target;
    target.name = "t" + std::to_string(index);
    target.id = targetId(theService(), target.name);
    target.generation = Generation{1};
    target.domain = domainOf(index, layout);
    target.flows = Endpoint{0x7f000001, static_cast<std::uint16_t>(9000 + index)};
    target.requests = Endpoint{0x7f000001, static_cast<std::uint16_t>(10000 + index)};
    target.slots = layout.slots;
    return target;
}

[[nodiscard]] inline Endpoint addressOf(std::size_t daemon)
{
    return Endpoint{0x7f000001, static_cast<std::uint16_t>(7000 + daemon)};
}

[[nodiscard]] inline std::size_t daemonAt(const Endpoint &address)
{
    return address.port - 7000U;
}

[[nodiscard]] inline Config configOf(const Layout &layout)
{
    Config config;
    config.revision = Revision{1};
    ServiceConfig &service = config.services[theService()];
    service.id = theService();
    service.workspace = "alexandria";
    service.name = "lending";
    for (std::size_t i = 0; i < layout.targets; ++i) {
        const TargetConfig target = targetOf(i, layout);
        service.targets[target.id] = target;
    }
    return config;
}

/// \brief Membership view of one daemon: the daemons that it sees alive.
[[nodiscard]] inline ViewPtr viewOf(std::size_t self, const Layout &layout,
                                    const std::vector<bool> &alive)
{
    auto view = std::make_shared<View>();
    view->self = DaemonId{self + layout.firstDaemon};
    view->domain = domainOf(self, layout);
    for (std::size_t i = 0; i < layout.daemons; ++i) {
        if (!alive[i])
            continue;
        Member member;
        member.id = DaemonId{i + layout.firstDaemon};
        member.address = addressOf(i);
        member.domain = domainOf(i, layout);
        if (member.domain == view->domain)
            view->members.push_back(member);
        else
            view->remote[member.domain].push_back(member);
    }
    return view;
}

} // namespace baobabtrail::bench
