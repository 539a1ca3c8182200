#include "wire/codec.h"
#include "wire/impl/fields.h"
#include "wire/impl/frame.h"

namespace baobabtrail::wire {

std::string encode(const TargetDatagram &datagram)
{
    pb::TargetFrame frame;
    frame.set_caller(impl::packEndpoint(datagram.caller));
    impl::write(datagram.token, *frame.mutable_token());
    if (!datagram.replyTo.isNull())
        frame.set_reply_to(impl::packEndpoint(datagram.replyTo));
    if (datagram.load)
        impl::write(*datagram.load, *frame.mutable_load());
    impl::write(datagram.body, &datagram.token, *frame.mutable_body());
    return frame.SerializeAsString();
}

Decoded<TargetDatagram> decodeTarget(std::string_view bytes)
{
    if (bytes.size() > MaxDatagramBytes)
        return DecodeError::TooLarge;
    pb::TargetFrame frame;
    if (!impl::parse(bytes, frame) || !frame.has_token())
        return DecodeError::Malformed;

    TargetDatagram datagram;
    datagram.caller = impl::unpackEndpoint(frame.caller());
    datagram.token = impl::read(frame.token());
    datagram.replyTo = impl::unpackEndpoint(frame.reply_to());
    if (frame.has_load())
        datagram.load = impl::read(frame.load());

    auto body = impl::read(*frame.mutable_body(), &datagram.token);
    if (const auto *error = std::get_if<DecodeError>(&body))
        return *error;
    auto *flow = std::get_if<FlowMessage>(&std::get<CallerMessage>(body));
    if (!flow)
        return DecodeError::UnknownKind;
    datagram.body = std::move(*flow);
    return datagram;
}

} // namespace baobabtrail::wire
