#include "wire/impl/sealed.h"
#include "wire/impl/fields.h"

namespace baobabtrail::wire::impl {

static_assert(static_cast<int>(MemberState::Dead) == pb::MEMBER_DEAD);

std::string seal(const pb::DaemonFrame &frame, const KeyRing &keys)
{
    pb::Sealed sealed;
    std::string &content = *sealed.mutable_content();
    frame.SerializeToString(&content);
    const PackedMac mac = packMac(keys.sealPeer(content));
    sealed.set_epoch(keys.currentEpoch().value());
    sealed.set_mac_first(mac.first);
    sealed.set_mac_second(mac.second);
    return sealed.SerializeAsString();
}

std::optional<DecodeError> unseal(std::string_view bytes, std::size_t limit, const KeyRing &keys,
                                  pb::DaemonFrame &out)
{
    if (bytes.size() > limit)
        return DecodeError::TooLarge;
    pb::Sealed sealed;
    if (!parse(bytes, sealed))
        return DecodeError::Malformed;
    const Mac mac = unpackMac(sealed.mac_first(), sealed.mac_second());
    switch (keys.checkPeer(KeyEpoch{sealed.epoch()}, sealed.content(), mac)) {
    case TokenError::UnknownEpoch:
        return DecodeError::UnknownEpoch;
    case TokenError::BadMac:
        return DecodeError::BadMac;
    case TokenError::None:
        break;
    }
    if (!parse(sealed.content(), out))
        return DecodeError::Malformed;
    return std::nullopt;
}

void write(const MemberUpdate &in, pb::MemberUpdate &out)
{
    out.set_daemon(in.daemon.value());
    out.set_incarnation(in.incarnation.value());
    out.set_version(in.version);
    out.set_state(static_cast<pb::MemberState>(in.state));
    out.set_address(packEndpoint(in.address));
    out.set_records(packEndpoint(in.records));
    out.set_domain(in.domain);
    out.set_revision(in.revision.value());
}

bool read(pb::MemberUpdate &in, MemberUpdate &out)
{
    out.daemon = DaemonId{in.daemon()};
    out.incarnation = Incarnation{in.incarnation()};
    out.version = in.version();
    out.address = unpackEndpoint(in.address());
    out.records = unpackEndpoint(in.records());
    out.domain = std::move(*in.mutable_domain());
    out.revision = Revision{in.revision()};
    return readEnum(in.state(), MemberState::Dead, out.state);
}

} // namespace baobabtrail::wire::impl
