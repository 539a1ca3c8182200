#include "wire/impl/request_frames.h"
#include "wire/impl/fields.h"
#include "wire/impl/frame.h"

namespace baobabtrail::wire::impl {

static_assert(static_cast<int>(RequestClass::Bulk) == pb::CLASS_BULK);
static_assert(static_cast<int>(UnknownCause::Expired) == pb::UNKNOWN_EXPIRED);

namespace {

/// \brief Writes request messages into the oneof of a frame.
class RequestWriter
{
public:
    explicit RequestWriter(pb::Frame &out) noexcept
        : m_out(out)
    {
    }

    void operator()(const Reserve &in) const
    {
        pb::Reserve &body = identified(in, *m_out.mutable_reserve());
        body.set_service(in.service.value());
        body.set_request_class(static_cast<pb::RequestClass>(in.requestClass));
        body.set_idempotent(in.idempotent);
        body.set_time_left(packDuration(in.timeLeft));
        body.set_attempt(in.attempt);
    }

    void operator()(const Reserved &in) const
    {
        write(in.token, *identified(in, *m_out.mutable_reserved()).mutable_token());
    }

    void operator()(const RequestData &in) const
    {
        pb::RequestData &body = identified(in, *m_out.mutable_request_data());
        write(in.token, *body.mutable_token());
        body.set_payload(in.payload);
    }

    void operator()(const Answer &in) const
    {
        pb::Answer &body = identified(in, *m_out.mutable_answer());
        body.set_part(in.part);
        body.set_parts(in.parts);
        body.set_payload(in.payload);
    }

    void operator()(const NotRun &in) const
    {
        pb::NotRun &body = identified(in, *m_out.mutable_not_run());
        body.set_cause(static_cast<pb::RefusalCause>(in.cause));
        body.set_come_back_after(packDuration(in.retryAfter));
        body.set_owner(in.owner.value());
    }

    void operator()(const OutcomeUnknown &in) const
    {
        pb::OutcomeUnknown &body = identified(in, *m_out.mutable_outcome_unknown());
        body.set_cause(static_cast<pb::UnknownCause>(in.cause));
    }

    void operator()(const CancelRequest &in) const
    {
        write(in.token, *identified(in, *m_out.mutable_cancel_request()).mutable_token());
    }

private:
    template <typename Message, typename Body>
    static Body &identified(const Message &in, Body &body)
    {
        body.set_request_high(in.request.high);
        body.set_request_low(in.request.low);
        return body;
    }

    pb::Frame &m_out;
};

template <typename Body>
[[nodiscard]] RequestId idOf(const Body &in) noexcept
{
    return {in.request_high(), in.request_low()};
}

/// \brief Reads the request id and the reservation token.
/// \return False if the token, which these messages require, is missing.
template <typename Body, typename Message>
[[nodiscard]] bool readReserved(const Body &in, Message &out) noexcept
{
    out.request = idOf(in);
    out.token = read(in.token());
    return in.has_token();
}

} // namespace

void write(const RequestMessage &in, pb::Frame &out)
{
    std::visit(RequestWriter{out}, in);
}

bool readBody(pb::Reserve &in, const FlowToken *, Reserve &out)
{
    out.request = idOf(in);
    out.service = ServiceId{in.service()};
    out.idempotent = in.idempotent();
    out.attempt = in.attempt();
    return readEnum(in.request_class(), RequestClass::Bulk, out.requestClass)
           && readDuration(in.time_left(), out.timeLeft);
}

bool readBody(pb::Reserved &in, const FlowToken *, Reserved &out)
{
    return readReserved(in, out);
}

bool readBody(pb::RequestData &in, const FlowToken *, RequestData &out)
{
    out.payload = std::move(*in.mutable_payload());
    return readReserved(in, out);
}

bool readBody(pb::Answer &in, const FlowToken *, Answer &out)
{
    out.request = idOf(in);
    out.part = in.part();
    out.parts = in.parts();
    out.payload = std::move(*in.mutable_payload());
    return out.part < out.parts && out.parts <= MaxAnswerParts;
}

bool readBody(pb::NotRun &in, const FlowToken *, NotRun &out)
{
    out.request = idOf(in);
    out.owner = DaemonId{in.owner()};
    return readEnum(in.cause(), RefusalCause::TargetShed, out.cause)
           && readDuration(in.come_back_after(), out.retryAfter);
}

bool readBody(pb::OutcomeUnknown &in, const FlowToken *, OutcomeUnknown &out)
{
    out.request = idOf(in);
    return readEnum(in.cause(), UnknownCause::Expired, out.cause);
}

bool readBody(pb::CancelRequest &in, const FlowToken *, CancelRequest &out)
{
    return readReserved(in, out);
}

} // namespace baobabtrail::wire::impl
