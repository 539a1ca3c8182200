#include "core/flows/target_cut.h"

namespace baobabtrail {

bool wasCut(const Config &config, const FlowToken &token) noexcept
{
    const TargetConfig *target = config.target(token.service, token.target);
    if (target && target->generation == token.generation)
        return target->state == TargetState::Cut;
    return config.revision >= token.revision;
}

} // namespace baobabtrail
