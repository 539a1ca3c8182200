#include "wire/impl/fields.h"

namespace baobabtrail::wire::impl {

void write(const FlowToken &in, pb::FlowToken &out)
{
    const PackedMac mac = packMac(in.mac);
    out.set_service(in.service.value());
    out.set_target(in.target.value());
    out.set_generation(in.generation.value());
    out.set_address(packEndpoint(in.address));
    out.set_revision(in.revision.value());
    out.set_epoch(in.epoch.value());
    out.set_mac_first(mac.first);
    out.set_mac_second(mac.second);
}

FlowToken read(const pb::FlowToken &in) noexcept
{
    FlowToken token;
    token.service = ServiceId{in.service()};
    token.target = TargetId{in.target()};
    token.generation = Generation{in.generation()};
    token.address = unpackEndpoint(in.address());
    token.revision = Revision{in.revision()};
    token.epoch = KeyEpoch{in.epoch()};
    token.mac = unpackMac(in.mac_first(), in.mac_second());
    return token;
}

void write(const ReservationToken &in, pb::ReservationToken &out)
{
    const PackedMac mac = packMac(in.mac);
    out.set_owner(in.owner.value());
    out.set_incarnation(in.incarnation.value());
    out.set_service(in.service.value());
    out.set_owner_address(packEndpoint(in.ownerAddress));
    out.set_deadline(in.deadline.time_since_epoch().count());
    out.set_epoch(in.epoch.value());
    out.set_mac_first(mac.first);
    out.set_mac_second(mac.second);
}

ReservationToken read(const pb::ReservationToken &in) noexcept
{
    ReservationToken token;
    token.owner = DaemonId{in.owner()};
    token.incarnation = Incarnation{in.incarnation()};
    token.service = ServiceId{in.service()};
    token.ownerAddress = unpackEndpoint(in.owner_address());
    token.deadline = TimePoint{Duration{in.deadline()}};
    token.epoch = KeyEpoch{in.epoch()};
    token.mac = unpackMac(in.mac_first(), in.mac_second());
    return token;
}

void write(const LoadReport &in, pb::LoadReport &out)
{
    out.set_running(in.running);
    out.set_queued(in.queued);
    out.set_connections(in.connections);
}

LoadReport read(const pb::LoadReport &in) noexcept
{
    return {in.running(), in.queued(), in.connections()};
}

} // namespace baobabtrail::wire::impl
