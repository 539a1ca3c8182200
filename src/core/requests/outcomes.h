#pragma once

#include "core/requests/request_table.h"
#include "core/traffic/node_context.h"

namespace baobabtrail {

/// \brief Completes requests: sends the outcome to the caller at once, and retains it for
/// retransmissions.
class Outcomes
{
public:
    Outcomes(NodeContext &context, RequestTable &table)
        : m_context(context)
        , m_table(table)
    {
    }

    /// \brief Completes a request with the answer of its target.
    void answered(RequestRecord &record, std::string payload, Turn &turn);
    /// \brief Completes a request that did not run; where an earlier attempt may have run, as one
    /// with an unknown outcome.
    /// \param retryAfter Time after which the caller may retry.
    void notRun(RequestRecord &record, RefusalCause cause, Duration retryAfter, Turn &turn);
    /// \brief Completes a request of which nobody can say whether it ran.
    void unknown(RequestRecord &record, UnknownCause cause, Turn &turn);
    /// \brief Sends the retained outcome again, for a caller that has retransmitted its request.
    void resend(RequestRecord &record, Turn &turn);

private:
    void sendAnswer(const RequestRecord &record, const std::string &payload, Turn &turn) const;
    void observe(const RequestRecord &record, RequestOutcome outcome, RefusalCause refusal,
                 Turn &turn) const;
    [[nodiscard]] static TimePoint retainedUntil(const RequestRecord &record,
                                                 TimePoint now) noexcept;

    NodeContext &m_context;
    RequestTable &m_table;
};

} // namespace baobabtrail
