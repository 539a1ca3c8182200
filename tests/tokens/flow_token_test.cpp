#include "core/keys.h"

#include <vector>

#include <criterion/criterion.h>

using namespace baobabtrail;

namespace {

[[nodiscard]] std::vector<std::byte> makeSecret(unsigned char fill)
{
    return std::vector<std::byte>(32, std::byte{fill});
}

[[nodiscard]] FlowToken makeToken()
{
    FlowToken token;
    token.service = serviceId("alexandria", "lending");
    token.target = targetId(token.service, "t1");
    token.generation = Generation{3};
    token.address = Endpoint{0x7f000001, 9000};
    token.revision = Revision{5};
    return token;
}

} // namespace

Test(flowToken, acceptedByEveryDaemonThatSharesTheSecret)
{
    const KeyRing issuer{makeSecret(1), KeyEpoch{1}};
    const KeyRing booted{makeSecret(1), KeyEpoch{1}};
    const FlowToken token = issuer.sealFlow(FlowId{42}, makeToken());
    cr_assert(booted.checkFlow(FlowId{42}, token) == TokenError::None);
}

Test(flowToken, refusedForAnotherFlowServiceOrSecret)
{
    const KeyRing keys{makeSecret(1), KeyEpoch{1}};
    const FlowToken token = keys.sealFlow(FlowId{42}, makeToken());
    cr_assert(keys.checkFlow(FlowId{43}, token) == TokenError::BadMac);

    FlowToken forged = token;
    forged.service = serviceId("alexandria", "catalogue");
    cr_assert(keys.checkFlow(FlowId{42}, forged) == TokenError::BadMac);

    const KeyRing other{makeSecret(2), KeyEpoch{1}};
    cr_assert(other.checkFlow(FlowId{42}, token) == TokenError::BadMac);
}

// A flow may be hours old when the keys are rotated. After one rotation, daemons of the old and the
// new epoch must accept its token; after two, the token is refused.
Test(flowToken, acceptedAcrossOneKeyRotation)
{
    const KeyRing old{makeSecret(1), KeyEpoch{1}};
    KeyRing rotated{makeSecret(1), KeyEpoch{2}};
    const FlowToken before = old.sealFlow(FlowId{42}, makeToken());
    const FlowToken after = rotated.sealFlow(FlowId{42}, makeToken());
    cr_assert(rotated.checkFlow(FlowId{42}, before) == TokenError::None);
    cr_assert(old.checkFlow(FlowId{42}, after) == TokenError::None);

    rotated.rotate(KeyEpoch{3});
    cr_assert(rotated.checkFlow(FlowId{42}, before) == TokenError::UnknownEpoch);
}

Test(reservation, refusedForAnotherRequest)
{
    const KeyRing keys{makeSecret(1), KeyEpoch{1}};
    ReservationToken token;
    token.owner = DaemonId{7};
    const ReservationToken sealed = keys.sealReservation(RequestId{1, 2}, token);
    cr_assert(keys.checkReservation(RequestId{1, 2}, sealed) == TokenError::None);
    cr_assert(keys.checkReservation(RequestId{1, 3}, sealed) == TokenError::BadMac);
}
