#include "core/membership/view.h"

#include "core/impl/hash.h"

namespace baobabtrail {

namespace {

[[nodiscard]] bool mayOwnTargets(const Member &member) noexcept
{
    return member.state == MemberState::Alive || member.state == MemberState::Suspect;
}

} // namespace

const Member *View::ownerOf(TargetId target) const noexcept
{
    const Member *best = nullptr;
    std::uint64_t bestScore = 0;
    for (const Member &member : members) {
        if (!mayOwnTargets(member))
            continue;
        const std::uint64_t score = impl::hashPair(target.value(), member.id.value());
        if (best && score <= bestScore)
            continue;
        best = &member;
        bestScore = score;
    }
    return best;
}

const Member *View::find(DaemonId id) const noexcept
{
    for (const Member &member : members) {
        if (member.id == id)
            return &member;
    }
    return nullptr;
}

} // namespace baobabtrail
