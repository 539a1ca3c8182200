#include "core/config/config.h"

namespace baobabtrail {

const ServiceConfig *Config::service(ServiceId id) const noexcept
{
    const auto found = services.find(id);
    return found == services.end() ? nullptr : &found->second;
}

const TargetConfig *Config::target(ServiceId serviceId, TargetId id) const noexcept
{
    const ServiceConfig *holder = service(serviceId);
    if (!holder)
        return nullptr;
    const auto found = holder->targets.find(id);
    return found == holder->targets.end() ? nullptr : &found->second;
}

} // namespace baobabtrail
