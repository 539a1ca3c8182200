#pragma once

#include "core/requests/request_table.h"
#include "core/traffic/node_context.h"

namespace baobabtrail {

/// \brief Ends requests: tells the caller at once, and keeps the outcome for retransmissions.
class Outcomes
{
public:
    Outcomes(NodeContext &context, RequestTable &table)
        : m_context(context)
        , m_table(table)
    {
    }

    void answered(RequestRecord &record, std::string payload, Turn &turn);
    /// \brief The request did not run. Where an attempt may have run after all, the outcome is
    /// unknown instead.
    void notRun(RequestRecord &record, RefusalCause cause, Duration retryAfter, Turn &turn);
    void unknown(RequestRecord &record, UnknownCause cause, Turn &turn);
    /// \brief The caller asked again for the outcome of a request that has ended.
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
