#pragma once

#include "core/direct/direct_router.h"

#include <string>

namespace baobabtrail::test {

/// \brief A DirectRouter with one service behind one address, and segments of its callers; no
/// network.
class DirectFleet
{
public:
    static constexpr Endpoint ServiceAddress{0xC6120001, 443};
    static constexpr std::uint16_t FirstPort = 1024;

    explicit DirectFleet(DirectSettings settings = {}, std::uint64_t seed = 1)
        : m_random(seed)
        , m_router("alx-raml", settings, m_random, observer())
    {
        m_router.setRoutes(routes(1));
        m_router.setFresh(true);
    }

    [[nodiscard]] static ServiceId service() { return serviceId("lending", "lending"); }

    /// \return A route table with the single route, or without any if \a withRoute is false.
    [[nodiscard]] static RouteTablePtr routes(std::uint64_t version, bool withRoute = true)
    {
        auto table = std::make_shared<RouteTable>();
        table->version = version;
        table->serviceNames[service()] = "lending";
        if (withRoute)
            table->routes[ServiceAddress] = Route{"r", ServiceAddress, {{service(), 1}}};
        return table;
    }

    [[nodiscard]] static RegisteredTarget target(std::uint64_t id, std::string domain = "alx-raml")
    {
        RegisteredTarget out;
        out.id = TargetId{id};
        out.name = "t" + std::to_string(id);
        out.service = service();
        out.domain = std::move(domain);
        out.address = {0x0A010000U + static_cast<std::uint32_t>(id), 8000};
        out.slots = 2;
        return out;
    }

    void add(std::uint64_t id, const std::string &domain = "alx-raml")
    {
        m_router.putTarget(target(id, domain), now);
    }

    [[nodiscard]] static Segment opening(std::uint16_t caller, std::uint8_t retransmits = 0)
    {
        Segment segment;
        segment.flow
            = {{0x64400007, static_cast<std::uint16_t>(FirstPort + caller)}, ServiceAddress};
        segment.sequence = FirstSequence;
        segment.acknowledged = retransmits;
        segment.retransmits = retransmits;
        segment.opens = true;
        return segment;
    }

    /// \param sent Bytes that the caller sent before this segment.
    /// \param received Bytes that the caller has received.
    /// \return A segment in the middle of a flow.
    [[nodiscard]] static Segment data(std::uint16_t caller, FlowLabel label, std::uint32_t sent,
                                      std::uint16_t length, std::uint32_t received)
    {
        Segment segment = opening(caller);
        segment.opens = false;
        segment.sequence = FirstSequence + 1 + sent;
        segment.acknowledged = received;
        segment.label = label;
        segment.length = length;
        return segment;
    }

    SegmentVerdict route(const Segment &segment) { return m_router.route(segment, now); }
    /// \brief Routes a segment that has waited.
    SegmentVerdict route(Segment segment, Duration waited)
    {
        segment.receivedAt = now - waited;
        return route(segment);
    }
    /// \brief Runs the router's timeouts; the store confirms its copy at this moment.
    void expire() { m_router.expire(now, {now, std::nullopt}); }

    /// \brief Opens a flow.
    /// \return Where it was delivered; a null target if it was not.
    DeliverSegment open(std::uint16_t caller, std::uint8_t retransmits = 0)
    {
        const SegmentVerdict verdict = route(opening(caller, retransmits));
        const auto *deliver = std::get_if<DeliverSegment>(&verdict);
        return deliver ? *deliver : DeliverSegment{};
    }

    /// \brief Opens a flow whose target answers.
    /// \return Where it was delivered.
    DeliverSegment establish(std::uint16_t caller)
    {
        const DeliverSegment placed = open(caller);
        (void)route(data(caller, placed.label, 0, 0, 1));
        return placed;
    }

    [[nodiscard]] DirectRouter &router() noexcept { return m_router; }

    TimePoint now{1h};
    std::vector<SegmentCause> causes;            ///< Of every decision, in order.
    std::vector<DirectTargetState> stateChanges; ///< New state of every change, in order.

private:
    static constexpr std::uint32_t FirstSequence = 0xFFFFFF00; ///< Wraps around after 256 bytes.

    [[nodiscard]] DirectObserver observer()
    {
        DirectObserver observer;
        observer.decided
            = [this](const SegmentDecision &decision) { causes.push_back(decision.cause); };
        observer.stateChanged
            = [this](const TargetStateChange &change) { stateChanges.push_back(change.state); };
        return observer;
    }

    Random m_random;
    DirectRouter m_router;
};

} // namespace baobabtrail::test
