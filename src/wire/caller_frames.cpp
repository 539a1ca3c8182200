#include "wire/codec.h"
#include "wire/impl/fields.h"
#include "wire/impl/flow_frames.h"
#include "wire/impl/frame.h"
#include "wire/impl/request_frames.h"

namespace baobabtrail::wire {

namespace impl {

namespace {

template <typename Group, typename Message, typename Body>
[[nodiscard]] Decoded<CallerMessage> readAs(Body &in, const FlowToken *shared)
{
    Message message;
    if (!readBody(in, shared, message))
        return DecodeError::Malformed;
    return CallerMessage{Group{std::move(message)}};
}

template <typename Message, typename Body>
[[nodiscard]] Decoded<CallerMessage> readFlow(Body *in, const FlowToken *shared)
{
    return readAs<FlowMessage, Message>(*in, shared);
}

template <typename Message, typename Body>
[[nodiscard]] Decoded<CallerMessage> readRequest(Body *in)
{
    return readAs<RequestMessage, Message>(*in, nullptr);
}

} // namespace

void write(const CallerMessage &in, pb::Frame &out)
{
    if (const auto *flow = std::get_if<FlowMessage>(&in))
        write(*flow, nullptr, out);
    else
        write(std::get<RequestMessage>(in), out);
}

Decoded<CallerMessage> read(pb::Frame &in, const FlowToken *shared)
{
    switch (in.body_case()) {
    case pb::Frame::kOpenFlow:
        return readFlow<OpenFlow>(in.mutable_open_flow(), shared);
    case pb::Frame::kAcceptFlow:
        return readFlow<AcceptFlow>(in.mutable_accept_flow(), shared);
    case pb::Frame::kRefuseFlow:
        return readFlow<RefuseFlow>(in.mutable_refuse_flow(), shared);
    case pb::Frame::kFlowData:
        return readFlow<FlowData>(in.mutable_flow_data(), shared);
    case pb::Frame::kKeepAlive:
        return readFlow<KeepAlive>(in.mutable_keep_alive(), shared);
    case pb::Frame::kKeepAliveAck:
        return readFlow<KeepAliveAck>(in.mutable_keep_alive_ack(), shared);
    case pb::Frame::kCloseFlow:
        return readFlow<CloseFlow>(in.mutable_close_flow(), shared);
    case pb::Frame::kResetFlow:
        return readFlow<ResetFlow>(in.mutable_reset_flow(), shared);
    case pb::Frame::kReserve:
        return readRequest<Reserve>(in.mutable_reserve());
    case pb::Frame::kReserved:
        return readRequest<Reserved>(in.mutable_reserved());
    case pb::Frame::kRequestData:
        return readRequest<RequestData>(in.mutable_request_data());
    case pb::Frame::kAnswer:
        return readRequest<Answer>(in.mutable_answer());
    case pb::Frame::kNotRun:
        return readRequest<NotRun>(in.mutable_not_run());
    case pb::Frame::kOutcomeUnknown:
        return readRequest<OutcomeUnknown>(in.mutable_outcome_unknown());
    case pb::Frame::kCancelRequest:
        return readRequest<CancelRequest>(in.mutable_cancel_request());
    case pb::Frame::BODY_NOT_SET:
        break;
    }
    return DecodeError::UnknownKind;
}

} // namespace impl

namespace {

/// \brief Pads an OpenFlow or Reserve to MinAskBytes.
template <typename Body>
void pad(pb::Frame &frame, Body &body)
{
    const std::size_t size = frame.ByteSizeLong();
    if (size < MinAskBytes)
        body.set_padding(std::string(MinAskBytes - size, '\0'));
}

[[nodiscard]] bool isAsk(const pb::Frame &frame) noexcept
{
    return frame.has_open_flow() || frame.has_reserve();
}

} // namespace

std::string encode(const CallerMessage &message)
{
    pb::Frame frame;
    impl::write(message, frame);
    if (frame.has_open_flow())
        pad(frame, *frame.mutable_open_flow());
    if (frame.has_reserve())
        pad(frame, *frame.mutable_reserve());
    return frame.SerializeAsString();
}

Decoded<CallerMessage> decodeCaller(std::string_view bytes)
{
    if (bytes.size() > MaxCallerBytes)
        return DecodeError::TooLarge;
    pb::Frame frame;
    if (!impl::parse(bytes, frame))
        return DecodeError::Malformed;
    // No reply is larger than MinAskBytes, so a forged source address gives no amplification.
    if (isAsk(frame) && bytes.size() < MinAskBytes)
        return DecodeError::TooSmall;
    return impl::read(frame);
}

} // namespace baobabtrail::wire
