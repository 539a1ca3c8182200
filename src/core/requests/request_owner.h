#pragma once

#include "core/requests/dispatcher.h"
#include "core/traffic/handoffs.h"

namespace baobabtrail {

/// \brief Reserves requests, forwards them to their owners, and runs those that this daemon owns to
/// their outcome.
///
/// The owner of a request is the daemon that its reservation names. Only the owner dispatches it,
/// and only once, so that it runs at most once without depending on a correct membership view or on
/// a lease.
class RequestOwner
{
public:
    RequestOwner(NodeContext &context, TargetLinks &links);

    /// \brief Handles a Reserve, RequestData or CancelRequest; callers' other messages are ignored.
    void fromCaller(const Endpoint &caller, RequestMessage message, Turn &turn);
    /// \brief Handles a Reserve that another daemon forwarded.
    void fromPeer(Handoff handoff, Turn &turn);
    /// \brief Handles a reserved request, or its cancellation, that another daemon forwarded.
    void fromPeer(OwnerRequest message, Turn &turn);

    /// \brief Ends requests and reservations that have timed out, and erases outcomes that need not
    /// be retained any longer.
    void advance(Turn &turn);
    [[nodiscard]] std::optional<TimePoint> nextTimer() const noexcept;

    [[nodiscard]] Dispatcher &dispatcher() noexcept { return m_dispatcher; }
    [[nodiscard]] const Dispatcher &dispatcher() const noexcept { return m_dispatcher; }
    [[nodiscard]] const RequestTable &table() const noexcept { return m_table; }

private:
    /// \param forwarded Whether another daemon forwarded the Reserve to this one.
    void reserve(Handoff handoff, bool forwarded, Turn &turn);
    [[nodiscard]] bool offer(const Handoff &handoff, TargetId target, Duration &retryAfter,
                             Turn &turn);
    [[nodiscard]] bool answerDuplicate(const Handoff &handoff, Turn &turn);
    [[nodiscard]] std::optional<RefusalCause> refusalByLimits(const Reserve &reserve) const;
    void refuse(const Handoff &handoff, RefusalCause cause, Duration retryAfter, Turn &turn);

    /// \brief Handles a message under a reservation here, or forwards it to the reservation's
    /// owner.
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
