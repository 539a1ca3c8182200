#include "wire/impl/flow_frames.h"
#include "wire/impl/fields.h"
#include "wire/impl/frame.h"

namespace baobabtrail::wire::impl {

// RefusalCause::WorkspaceLimit is REFUSAL_TENANT_LIMIT on the wire.
static_assert(static_cast<int>(RefusalCause::TargetShed) == pb::REFUSAL_TARGET_SHED);
static_assert(static_cast<int>(ResetCause::WrongService) == pb::RESET_WRONG_SERVICE);

namespace {

/// \brief Writes flow messages into the oneof of a frame.
class FlowWriter
{
public:
    FlowWriter(const FlowToken *shared, pb::Frame &out) noexcept
        : m_shared(shared)
        , m_out(out)
    {
    }

    void operator()(const OpenFlow &in) const
    {
        pb::OpenFlow &body = *m_out.mutable_open_flow();
        body.set_flow(in.flow.value());
        body.set_service(in.service.value());
        body.set_resumes(in.resumes.value());
        body.set_attempt(in.attempt);
    }

    void operator()(const AcceptFlow &in) const { tokened(in, *m_out.mutable_accept_flow()); }

    void operator()(const RefuseFlow &in) const
    {
        pb::RefuseFlow &body = *m_out.mutable_refuse_flow();
        body.set_flow(in.flow.value());
        body.set_cause(static_cast<pb::RefusalCause>(in.cause));
        body.set_come_back_after(packDuration(in.retryAfter));
    }

    void operator()(const FlowData &in) const
    {
        pb::FlowData &body = *m_out.mutable_flow_data();
        tokened(in, body);
        body.set_payload(in.payload);
    }

    void operator()(const KeepAlive &in) const
    {
        pb::KeepAlive &body = *m_out.mutable_keep_alive();
        tokened(in, body);
        body.set_unanswered(in.unanswered);
    }

    void operator()(const KeepAliveAck &in) const { tokened(in, *m_out.mutable_keep_alive_ack()); }

    void operator()(const CloseFlow &in) const { tokened(in, *m_out.mutable_close_flow()); }

    void operator()(const ResetFlow &in) const
    {
        pb::ResetFlow &body = *m_out.mutable_reset_flow();
        body.set_flow(in.flow.value());
        body.set_cause(static_cast<pb::ResetCause>(in.cause));
        body.set_reopen_after(packDuration(in.reopenAfter));
    }

private:
    template <typename Message, typename Body>
    void tokened(const Message &in, Body &body) const
    {
        body.set_flow(in.flow.value());
        if (m_shared && *m_shared == in.token)
            return;
        write(in.token, *body.mutable_token());
    }

    const FlowToken *m_shared;
    pb::Frame &m_out;
};

template <typename Message, typename Body>
[[nodiscard]] bool readTokened(const Body &in, const FlowToken *shared, Message &out) noexcept
{
    out.flow = FlowId{in.flow()};
    if (in.has_token())
        out.token = read(in.token());
    else if (shared)
        out.token = *shared;
    return in.has_token() || shared;
}

} // namespace

void write(const FlowMessage &in, const FlowToken *shared, pb::Frame &out)
{
    std::visit(FlowWriter{shared, out}, in);
}

bool readBody(pb::OpenFlow &in, const FlowToken *, OpenFlow &out)
{
    out.flow = FlowId{in.flow()};
    out.service = ServiceId{in.service()};
    out.resumes = FlowId{in.resumes()};
    out.attempt = in.attempt();
    return true;
}

bool readBody(pb::AcceptFlow &in, const FlowToken *shared, AcceptFlow &out)
{
    return readTokened(in, shared, out);
}

bool readBody(pb::RefuseFlow &in, const FlowToken *, RefuseFlow &out)
{
    out.flow = FlowId{in.flow()};
    return readEnum(in.cause(), RefusalCause::TargetShed, out.cause)
           && readDuration(in.come_back_after(), out.retryAfter);
}

bool readBody(pb::FlowData &in, const FlowToken *shared, FlowData &out)
{
    out.payload = std::move(*in.mutable_payload());
    return readTokened(in, shared, out);
}

bool readBody(pb::KeepAlive &in, const FlowToken *shared, KeepAlive &out)
{
    out.unanswered = in.unanswered();
    return readTokened(in, shared, out);
}

bool readBody(pb::KeepAliveAck &in, const FlowToken *shared, KeepAliveAck &out)
{
    return readTokened(in, shared, out);
}

bool readBody(pb::CloseFlow &in, const FlowToken *shared, CloseFlow &out)
{
    return readTokened(in, shared, out);
}

bool readBody(pb::ResetFlow &in, const FlowToken *, ResetFlow &out)
{
    out.flow = FlowId{in.flow()};
    return readEnum(in.cause(), ResetCause::WrongService, out.cause)
           && readDuration(in.reopen_after(), out.reopenAfter);
}

} // namespace baobabtrail::wire::impl
