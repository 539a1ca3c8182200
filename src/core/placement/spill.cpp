#include "core/placement/spill.h"

namespace baobabtrail {

std::vector<DomainShare> spillShares(const std::string & /*home*/, const ServiceLoad & /*load*/,
                                     const PlacementSettings & /*settings*/)
{
    return {};
}

} // namespace baobabtrail
