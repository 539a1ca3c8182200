#pragma once

#include "core/endpoint.h"
#include "daemon/metrics/metrics.h"
#include "daemon/net/arrival_clock.h"
#include "daemon/settings/settings.h"
#include "daemon/supervisor/supervisor.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace baobabtrail::daemon {

/// \brief A datagram that was received.
struct Datagram
{
    Endpoint from;
    std::string_view bytes;
    TimePoint receivedAt{}; ///< By this machine. \see ArrivalClock::arrivedAt
};

/// \brief A UDP socket that receives and sends datagrams in batches, with recvmmsg and sendmmsg.
///
/// Datagrams sent from within a receive handler are flushed together after the received batch.
class UdpSocket
{
public:
    using Receive = std::function<void(const Datagram &)>;

    /// \param failed Called when the socket can't be read any more.
    /// \throws std::runtime_error if the address can't be bound.
    UdpSocket(boost::asio::io_context &context, const Endpoint &local,
              const SocketSettings &settings, SocketCounters &counters, Receive receive,
              FailureHandler failed);
    ~UdpSocket();
    UdpSocket(const UdpSocket &) = delete;
    UdpSocket &operator=(const UdpSocket &) = delete;

    /// \brief Queues a datagram for sending. Drops it where the kernel's send buffer is full, as
    /// the network might.
    /// \param expiresAt Drops it from then on, too: the process may stall before it is sent.
    void send(const Endpoint &to, std::string bytes, std::optional<TimePoint> expiresAt = {});

    /// \brief Sets a function that is called before each batch of datagrams is read.
    void beforeBatch(std::function<void()> call) { m_beforeBatch = std::move(call); }
    /// \brief The process stalled: what the kernel's receive buffer holds now, if anything, may be
    /// as old as that.
    void processStalled(TimePoint since);

    /// \return Whether the kernel's receive buffer holds datagrams.
    [[nodiscard]] bool hasUnread() const;

private:
    struct Outgoing
    {
        Endpoint to;
        std::string bytes;
        std::optional<TimePoint> expiresAt;
    };
    struct Batch;

    void waitForDatagrams();
    void requestStamps();
    void readBatches();
    [[nodiscard]] std::size_t readBatch();
    void deliver(std::size_t count);
    void flush();
    void dropExpired();
    [[nodiscard]] std::size_t sendBatch(std::size_t first);

    boost::asio::ip::udp::socket m_socket;
    std::size_t m_batchSize;
    SocketCounters &m_counters;
    Receive m_receive;
    FailureHandler m_failed;
    std::function<void()> m_beforeBatch;
    std::unique_ptr<Batch> m_batch;
    ArrivalClock m_arrivals;
    std::vector<Outgoing> m_outgoing;
    bool m_flushScheduled = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace baobabtrail::daemon
