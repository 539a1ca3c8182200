#include "wire/codec.h"
#include "wire/impl/fields.h"
#include "wire/impl/frame.h"
#include "wire/impl/sealed.h"

#include <cmath>

namespace baobabtrail::wire {

namespace {

template <typename Hints>
void writeHints(const std::vector<LoadHint> &in, Hints &out)
{
    for (const LoadHint &hint : in) {
        pb::LoadHint &entry = *out.Add();
        entry.set_target(hint.target.value());
        entry.set_requests(hint.requests);
        entry.set_flows(hint.flows);
    }
}

/// \return Whether the load is finite and not negative. A NaN compares false with every load and
/// would break target selection.
[[nodiscard]] bool isLoad(float load) noexcept
{
    return std::isfinite(load) && load >= 0;
}

template <typename Hints>
[[nodiscard]] bool readHints(const Hints &in, std::vector<LoadHint> &out)
{
    out.reserve(static_cast<std::size_t>(in.size()));
    for (const pb::LoadHint &hint : in) {
        if (!isLoad(hint.requests()) || !isLoad(hint.flows()))
            return false;
        out.push_back({TargetId{hint.target()}, hint.requests(), hint.flows()});
    }
    return true;
}

template <typename Updates>
void writeUpdates(const std::vector<MemberUpdate> &in, Updates &out)
{
    for (const MemberUpdate &update : in)
        impl::write(update, *out.Add());
}

template <typename Updates>
[[nodiscard]] bool readUpdates(Updates &in, std::vector<MemberUpdate> &out)
{
    out.resize(static_cast<std::size_t>(in.size()));
    std::size_t index = 0;
    for (pb::MemberUpdate &update : in) {
        if (!impl::read(update, out[index++]))
            return false;
    }
    return true;
}

/// \brief Writes the flow or request message that the variant holds.
template <typename Variant>
void writeFrame(const Variant &in, pb::Frame &out)
{
    const auto asCaller = [](const auto &message) {
        using Message = std::decay_t<decltype(message)>;
        if constexpr (std::is_constructible_v<FlowMessage, const Message &>)
            return CallerMessage{FlowMessage{message}};
        else
            return CallerMessage{RequestMessage{message}};
    };
    impl::write(std::visit(asCaller, in), out);
}

/// \brief Reads a flow or request message.
/// \return Nothing, or an error; UnknownKind if \a Variant can't hold a message of this kind.
template <typename Variant>
[[nodiscard]] std::optional<DecodeError> readFrame(pb::Frame &in, Variant &out)
{
    auto decoded = impl::read(in);
    if (const auto *error = std::get_if<DecodeError>(&decoded))
        return *error;
    const auto take = [&out](auto &message) -> std::optional<DecodeError> {
        using Message = std::decay_t<decltype(message)>;
        if constexpr (std::is_constructible_v<Variant, Message &&>) {
            out = std::move(message);
            return std::nullopt;
        } else {
            return DecodeError::UnknownKind;
        }
    };
    return std::visit([&take](auto &group) { return std::visit(take, group); },
                      std::get<CallerMessage>(decoded));
}

class PeerWriter
{
public:
    explicit PeerWriter(pb::PeerFrame &out) noexcept
        : m_out(out)
    {
    }

    void operator()(const Handoff &in) const
    {
        pb::Handoff &body = *m_out.mutable_handoff();
        body.set_caller(impl::packEndpoint(in.caller));
        body.set_entry(impl::packEndpoint(in.entry));
        body.set_target(in.target.value());
        body.set_hops(in.hops);
        writeHints(in.hints, *body.mutable_hints());
        writeFrame(in.body, *body.mutable_ask());
    }

    void operator()(const HandoffReply &in) const
    {
        pb::HandoffReply &body = *m_out.mutable_handoff_reply();
        body.set_caller(impl::packEndpoint(in.caller));
        writeHints(in.hints, *body.mutable_hints());
        writeFrame(in.reply, *body.mutable_reply());
    }

    void operator()(const OwnerRequest &in) const
    {
        pb::OwnerRequest &body = *m_out.mutable_owner_request();
        body.set_caller(impl::packEndpoint(in.caller));
        writeFrame(in.body, *body.mutable_body());
    }

    void operator()(const Ping &in) const
    {
        pb::Ping &body = *m_out.mutable_ping();
        body.set_sequence(in.sequence);
        writeUpdates(in.updates, *body.mutable_updates());
        if (in.configAge)
            body.set_config_age(impl::packDuration(*in.configAge));
    }

    void operator()(const IndirectPing &in) const
    {
        pb::IndirectPing &body = *m_out.mutable_indirect_ping();
        body.set_sequence(in.sequence);
        body.set_subject(impl::packEndpoint(in.subject));
        writeUpdates(in.updates, *body.mutable_updates());
    }

    void operator()(const PingAck &in) const
    {
        pb::PingAck &body = *m_out.mutable_ping_ack();
        body.set_sequence(in.sequence);
        writeUpdates(in.updates, *body.mutable_updates());
        if (in.configAge)
            body.set_config_age(impl::packDuration(*in.configAge));
    }

    void operator()(const RevisionNotice &in) const
    {
        pb::RevisionNotice &body = *m_out.mutable_revision_notice();
        body.set_revision(in.revision.value());
        body.set_records(impl::packEndpoint(in.records));
    }

private:
    pb::PeerFrame &m_out;
};

using Error = std::optional<DecodeError>;

[[nodiscard]] Error readBody(pb::Handoff &in, Handoff &out)
{
    out.caller = impl::unpackEndpoint(in.caller());
    out.entry = impl::unpackEndpoint(in.entry());
    out.target = TargetId{in.target()};
    out.hops = in.hops();
    if (!readHints(in.hints(), out.hints))
        return DecodeError::Malformed;
    return readFrame(*in.mutable_ask(), out.body);
}

[[nodiscard]] Error readBody(pb::HandoffReply &in, HandoffReply &out)
{
    out.caller = impl::unpackEndpoint(in.caller());
    if (!readHints(in.hints(), out.hints))
        return DecodeError::Malformed;
    return readFrame(*in.mutable_reply(), out.reply);
}

[[nodiscard]] Error readBody(pb::OwnerRequest &in, OwnerRequest &out)
{
    out.caller = impl::unpackEndpoint(in.caller());
    return readFrame(*in.mutable_body(), out.body);
}

/// \brief Reads the fields common to all kinds of pings.
template <typename Body, typename Message>
[[nodiscard]] Error readPing(Body &in, Message &out)
{
    out.sequence = in.sequence();
    if (!readUpdates(*in.mutable_updates(), out.updates))
        return DecodeError::Malformed;
    return std::nullopt;
}

template <typename Body, typename Message>
[[nodiscard]] Error readAgedPing(Body &in, Message &out)
{
    if (in.has_config_age() && !impl::readDuration(in.config_age(), out.configAge.emplace()))
        return DecodeError::Malformed;
    return readPing(in, out);
}

[[nodiscard]] Error readBody(pb::Ping &in, Ping &out)
{
    return readAgedPing(in, out);
}

[[nodiscard]] Error readBody(pb::IndirectPing &in, IndirectPing &out)
{
    out.subject = impl::unpackEndpoint(in.subject());
    return readPing(in, out);
}

[[nodiscard]] Error readBody(pb::PingAck &in, PingAck &out)
{
    return readAgedPing(in, out);
}

[[nodiscard]] Error readBody(pb::RevisionNotice &in, RevisionNotice &out)
{
    out.revision = Revision{in.revision()};
    out.records = impl::unpackEndpoint(in.records());
    return std::nullopt;
}

template <typename Message, typename Body>
[[nodiscard]] Error readAs(Body *in, PeerMessage &out)
{
    return readBody(*in, out.emplace<Message>());
}

[[nodiscard]] Error read(pb::PeerFrame &in, PeerMessage &out)
{
    switch (in.body_case()) {
    case pb::PeerFrame::kHandoff:
        return readAs<Handoff>(in.mutable_handoff(), out);
    case pb::PeerFrame::kHandoffReply:
        return readAs<HandoffReply>(in.mutable_handoff_reply(), out);
    case pb::PeerFrame::kOwnerRequest:
        return readAs<OwnerRequest>(in.mutable_owner_request(), out);
    case pb::PeerFrame::kPing:
        return readAs<Ping>(in.mutable_ping(), out);
    case pb::PeerFrame::kIndirectPing:
        return readAs<IndirectPing>(in.mutable_indirect_ping(), out);
    case pb::PeerFrame::kPingAck:
        return readAs<PingAck>(in.mutable_ping_ack(), out);
    case pb::PeerFrame::kRevisionNotice:
        return readAs<RevisionNotice>(in.mutable_revision_notice(), out);
    case pb::PeerFrame::BODY_NOT_SET:
        break;
    }
    return DecodeError::UnknownKind;
}

} // namespace

std::string encode(const PeerDatagram &datagram, const KeyRing &keys)
{
    pb::DaemonFrame frame;
    pb::PeerFrame &peer = *frame.mutable_peer();
    peer.set_from(datagram.from.value());
    peer.set_incarnation(datagram.incarnation.value());
    std::visit(PeerWriter{peer}, datagram.body);
    return impl::seal(frame, keys);
}

Decoded<PeerDatagram> decodePeer(std::string_view bytes, const KeyRing &keys)
{
    pb::DaemonFrame frame;
    if (const auto error = impl::unseal(bytes, MaxDatagramBytes, keys, frame))
        return *error;
    if (!frame.has_peer())
        return DecodeError::UnknownKind;

    pb::PeerFrame &peer = *frame.mutable_peer();
    PeerDatagram datagram;
    datagram.from = DaemonId{peer.from()};
    datagram.incarnation = Incarnation{peer.incarnation()};
    if (const auto error = read(peer, datagram.body))
        return *error;
    return datagram;
}

} // namespace baobabtrail::wire
