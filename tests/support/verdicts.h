#pragma once

#include "core/direct/direct_router.h"

#include <variant>

namespace baobabtrail::test {

[[nodiscard]] inline bool isAbort(const SegmentVerdict &verdict)
{
    return std::holds_alternative<AbortFlow>(verdict);
}

[[nodiscard]] inline bool isDrop(const SegmentVerdict &verdict)
{
    return std::holds_alternative<DropSegment>(verdict);
}

[[nodiscard]] inline TargetId targetOf(const SegmentVerdict &verdict)
{
    const auto *deliver = std::get_if<DeliverSegment>(&verdict);
    return deliver ? deliver->target : TargetId{};
}

} // namespace baobabtrail::test
