#include "wire/codec.h"
#include "wire/impl/fields.h"

namespace baobabtrail::wire {

namespace {

constexpr std::size_t LengthBytes = 4;

class LinkWriter
{
public:
    explicit LinkWriter(pb::LinkFrame &out) noexcept
        : m_out(out)
    {
    }

    void operator()(const LinkHello &in) const
    {
        pb::LinkHello &body = *m_out.mutable_hello();
        body.set_service(in.service.value());
        body.set_target(in.target.value());
        body.set_generation(in.generation.value());
    }

    void operator()(const LinkHelloReply &in) const
    {
        pb::LinkHelloReply &body = *m_out.mutable_hello_reply();
        body.set_service(in.service.value());
        impl::write(in.load, *body.mutable_load());
    }

    void operator()(const Dispatch &in) const
    {
        pb::Dispatch &body = *m_out.mutable_dispatch();
        body.set_attempt(in.attempt.value());
        body.set_request_high(in.request.high);
        body.set_request_low(in.request.low);
        body.set_service(in.service.value());
        body.set_request_class(static_cast<pb::RequestClass>(in.requestClass));
        body.set_time_left(impl::packDuration(in.timeLeft));
        body.set_payload(in.payload);
    }

    void operator()(const CancelAttempt &in) const
    {
        m_out.mutable_cancel()->set_attempt(in.attempt.value());
    }

    void operator()(const AttemptDone &in) const
    {
        pb::AttemptDone &body = *m_out.mutable_done();
        body.set_attempt(in.attempt.value());
        impl::write(in.load, *body.mutable_load());
        body.set_payload(in.payload);
    }

    void operator()(const AttemptNotRun &in) const
    {
        pb::AttemptNotRun &body = *m_out.mutable_not_run();
        body.set_attempt(in.attempt.value());
        impl::write(in.load, *body.mutable_load());
        body.set_cause(static_cast<pb::RefusalCause>(in.cause));
    }

private:
    pb::LinkFrame &m_out;
};

[[nodiscard]] Decoded<LinkMessage> readDispatch(pb::Dispatch &in)
{
    Dispatch out;
    out.attempt = AttemptId{in.attempt()};
    out.request = {in.request_high(), in.request_low()};
    out.service = ServiceId{in.service()};
    out.payload = std::move(*in.mutable_payload());
    if (!impl::readEnum(in.request_class(), RequestClass::Bulk, out.requestClass)
        || !impl::readDuration(in.time_left(), out.timeLeft))
        return DecodeError::Malformed;
    return LinkMessage{std::move(out)};
}

[[nodiscard]] Decoded<LinkMessage> readNotRun(const pb::AttemptNotRun &in)
{
    AttemptNotRun out{AttemptId{in.attempt()}, impl::read(in.load()), RefusalCause::TargetShed};
    if (!impl::readEnum(in.cause(), RefusalCause::TargetShed, out.cause))
        return DecodeError::Malformed;
    return LinkMessage{out};
}

[[nodiscard]] Decoded<LinkMessage> decodeLink(std::string_view bytes)
{
    pb::LinkFrame frame;
    if (!impl::parse(bytes, frame))
        return DecodeError::Malformed;
    switch (frame.body_case()) {
    case pb::LinkFrame::kHello: {
        const pb::LinkHello &in = frame.hello();
        return LinkMessage{
            LinkHello{ServiceId{in.service()}, TargetId{in.target()}, Generation{in.generation()}}};
    }
    case pb::LinkFrame::kHelloReply: {
        const pb::LinkHelloReply &in = frame.hello_reply();
        return LinkMessage{LinkHelloReply{ServiceId{in.service()}, impl::read(in.load())}};
    }
    case pb::LinkFrame::kDispatch:
        return readDispatch(*frame.mutable_dispatch());
    case pb::LinkFrame::kCancel:
        return LinkMessage{CancelAttempt{AttemptId{frame.cancel().attempt()}}};
    case pb::LinkFrame::kDone: {
        pb::AttemptDone &in = *frame.mutable_done();
        return LinkMessage{AttemptDone{AttemptId{in.attempt()}, impl::read(in.load()),
                                       std::move(*in.mutable_payload())}};
    }
    case pb::LinkFrame::kNotRun:
        return readNotRun(frame.not_run());
    case pb::LinkFrame::BODY_NOT_SET:
        break;
    }
    return DecodeError::UnknownKind;
}

void appendLength(std::string &out, std::size_t length)
{
    for (int shift = 24; shift >= 0; shift -= 8)
        out.push_back(static_cast<char>(length >> shift & 0xff));
}

[[nodiscard]] std::size_t lengthAt(std::string_view bytes) noexcept
{
    std::size_t length = 0;
    for (const char c : bytes.substr(0, LengthBytes))
        length = length << 8 | static_cast<unsigned char>(c);
    return length;
}

} // namespace

std::string encodeLink(const LinkMessage &message)
{
    pb::LinkFrame frame;
    std::visit(LinkWriter{frame}, message);
    std::string out;
    appendLength(out, frame.ByteSizeLong());
    frame.AppendToString(&out);
    return out;
}

std::optional<DecodeError> LinkReader::feed(std::string_view bytes, std::vector<LinkMessage> &out)
{
    m_buffer.append(bytes);
    std::string_view rest = m_buffer;
    while (rest.size() >= LengthBytes) {
        const std::size_t length = lengthAt(rest);
        // Checked before the message is complete, so that a malicious length can't exhaust memory.
        if (length > MaxLinkMessageBytes)
            return DecodeError::TooLarge;
        if (rest.size() - LengthBytes < length)
            break;
        auto message = decodeLink(rest.substr(LengthBytes, length));
        if (const auto *error = std::get_if<DecodeError>(&message))
            return *error;
        out.push_back(std::move(std::get<LinkMessage>(message)));
        rest.remove_prefix(LengthBytes + length);
    }
    m_buffer.erase(0, m_buffer.size() - rest.size());
    return std::nullopt;
}

} // namespace baobabtrail::wire
