#pragma once

#include "core/requests/dispatcher.h"
#include "core/traffic/handoffs.h"

namespace baobabtrail {

/// \brief Reserves requests, hands them to their owners, and answers for those owned here.
///
/// Only the daemon that a reservation names dispatches its request, and only once, so that no view
/// of the cluster and no lease has to be right for a request to run at most once.
class RequestOwner
{
public:
    RequestOwner(NodeContext &context, TargetLinks &links);

    void fromCaller(const Endpoint &caller, RequestMessage message, Turn &turn);
    /// \brief A Reserve that another daemon handed over.
    void fromPeer(Handoff handoff, Turn &turn);
    /// \brief A reserved request, or its cancellation, that another daemon handed over.
    void fromPeer(OwnerRequest message, Turn &turn);

    /// \brief Ends what is over by time.
    void advance(Turn &turn);
    [[nodiscard]] std::optional<TimePoint> nextTimer() const noexcept;

    [[nodiscard]] Dispatcher &dispatcher() noexcept { return m_dispatcher; }
    [[nodiscard]] const Dispatcher &dispatcher() const noexcept { return m_dispatcher; }
    [[nodiscard]] const RequestTable &table() const noexcept { return m_table; }

private:
    void reserve(Handoff handoff, bool forwarded, Turn &turn);
    [[nodiscard]] bool offer(const Handoff &handoff, TargetId target, Duration &retryAfter,
                             Turn &turn);
    [[nodiscard]] bool answerDuplicate(const Handoff &handoff, Turn &turn);
    [[nodiscard]] std::optional<RefusalCause> refusalByLimits(const Reserve &reserve) const;
    void refuse(const Handoff &handoff, RefusalCause cause, Duration retryAfter, Turn &turn);

    template <typename Message>
    void route(const Endpoint &caller, Message message, Turn &turn);
    template <typename Message>
    void handleOwned(const Endpoint &caller, Message message, Turn &turn);
    void handle(RequestRecord &record, RequestData message, Turn &turn);
    void handle(RequestRecord &record, const CancelRequest &message, Turn &turn);

    void expire(RequestRecord &record, Turn &turn);

    NodeContext &m_context;
    RequestTable m_table;
    Outcomes m_outcomes;
    Dispatcher m_dispatcher;
};

} // namespace baobabtrail
