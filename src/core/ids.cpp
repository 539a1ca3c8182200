#include "core/ids.h"

#include "core/impl/hash.h"

#include <iomanip>

namespace baobabtrail {

std::ostream &operator<<(std::ostream &out, const RequestId &id)
{
    const auto flags = out.flags();
    const auto fill = out.fill('0');
    out << std::hex << std::setw(16) << id.high << std::setw(16) << id.low;
    out.flags(flags);
    out.fill(fill);
    return out;
}

ServiceId serviceId(std::string_view workspace, std::string_view service)
{
    std::string name{workspace};
    name += '/';
    name += service;
    return ServiceId{impl::hash64(name)};
}

TargetId targetId(ServiceId service, std::string_view target)
{
    return TargetId{impl::hash64(target, service.value())};
}

} // namespace baobabtrail
