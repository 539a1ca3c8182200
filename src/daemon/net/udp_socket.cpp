#include "daemon/net/udp_socket.h"

#include "daemon/clock.h"
#include "daemon/net/asio_endpoint.h"
#include "wire/codec.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <ctime>
#include <stdexcept>
#include <sys/socket.h>

namespace baobabtrail::daemon {

namespace {

// One byte more than the largest datagram with its PROXY header, to detect that a longer one was
// truncated.
constexpr std::size_t MaxProxyHeaderBytes = 512;
constexpr std::size_t SlotBytes = wire::MaxDatagramBytes + MaxProxyHeaderBytes + 1;
// Batches that are read before other events are handled; bounds how long timers, peers and targets
// wait.
constexpr int MaxConsecutiveBatches = 4;

[[nodiscard]] bool isTransient(int error) noexcept
{
    return error == EAGAIN || error == EWOULDBLOCK || error == EINTR || error == ECONNREFUSED;
}

[[nodiscard]] ArrivalClock::Reading readClocks() noexcept
{
    const TimePoint now = monotonicNow();
    return {now, preciseWallNow()};
}

/// \return The arrival stamp that the kernel has attached to a received datagram, if any.
[[nodiscard]] std::optional<ArrivalClock::WallTime> stampOf(msghdr &header) noexcept
{
    const cmsghdr *control = CMSG_FIRSTHDR(&header);
    if (!control || control->cmsg_level != SOL_SOCKET || control->cmsg_type != SO_TIMESTAMPNS)
        return std::nullopt;
    timespec time{};
    std::memcpy(&time, CMSG_DATA(control), sizeof time);
    return ArrivalClock::WallTime{std::chrono::seconds{time.tv_sec}
                                  + std::chrono::nanoseconds{time.tv_nsec}};
}

} // namespace

/// \brief Buffers of one receive call and one send call. Pages that no datagram has reached are
/// never touched, so large slots cost little memory.
struct UdpSocket::Batch
{
    /// \brief Space for the arrival stamp of a datagram.
    struct alignas(cmsghdr) Control
    {
        std::array<char, CMSG_SPACE(sizeof(timespec))> bytes;
    };

    explicit Batch(std::size_t size)
        : bytes(std::make_unique_for_overwrite<char[]>(size * SlotBytes))
        , controls(size)
        , vectors(size)
        , addresses(size)
        , headers(size)
    {
    }

    void prepareReceive()
    {
        for (std::size_t index = 0; index < headers.size(); ++index) {
            vectors[index] = {bytes.get() + index * SlotBytes, SlotBytes};
            headers[index] = {};
            headers[index].msg_hdr.msg_iov = &vectors[index];
            headers[index].msg_hdr.msg_iovlen = 1;
            headers[index].msg_hdr.msg_name = &addresses[index];
            headers[index].msg_hdr.msg_namelen = sizeof(sockaddr_in);
            headers[index].msg_hdr.msg_control = controls[index].bytes.data();
            headers[index].msg_hdr.msg_controllen = controls[index].bytes.size();
        }
    }

    std::unique_ptr<char[]> bytes;
    std::vector<Control> controls;
    std::vector<iovec> vectors;
    std::vector<sockaddr_in> addresses;
    std::vector<mmsghdr> headers;
};

UdpSocket::UdpSocket(boost::asio::io_context &context, const Endpoint &local,
                     const SocketSettings &settings, SocketCounters &counters, Receive receive,
                     FailureHandler failed)
    : m_socket(context)
    , m_batchSize(settings.batch)
    , m_counters(counters)
    , m_receive(std::move(receive))
    , m_failed(std::move(failed))
    , m_batch(std::make_unique<Batch>(settings.batch))
    , m_arrivals(readClocks())
{
    using boost::asio::socket_base;
    m_socket.open(boost::asio::ip::udp::v4());
    m_socket.set_option(
        socket_base::receive_buffer_size(static_cast<int>(settings.receiveBufferBytes)));
    m_socket.set_option(socket_base::send_buffer_size(static_cast<int>(settings.sendBufferBytes)));
    boost::system::error_code error;
    m_socket.bind(toAsio<boost::asio::ip::udp>(local), error);
    if (error)
        throw std::runtime_error(toString(local) + ": " + error.message());
    m_socket.non_blocking(true);
    requestStamps();
    waitForDatagrams();
}

// Where the kernel gives no stamps, ArrivalClock goes by the stalls of the process alone.
void UdpSocket::requestStamps()
{
    const int on = 1;
    (void)::setsockopt(m_socket.native_handle(), SOL_SOCKET, SO_TIMESTAMPNS, &on, sizeof on);
}

UdpSocket::~UdpSocket()
{
    flush();
}

void UdpSocket::send(const Endpoint &to, std::string bytes, std::optional<TimePoint> expiresAt)
{
    m_outgoing.push_back({to, std::move(bytes), expiresAt});
    if (m_flushScheduled)
        return;
    m_flushScheduled = true;
    boost::asio::post(m_socket.get_executor(), [this, alive = std::weak_ptr{m_alive}] {
        if (!alive.expired())
            flush();
    });
}

void UdpSocket::processStalled(TimePoint since)
{
    m_arrivals.stalled(since, hasUnread());
}

bool UdpSocket::hasUnread() const
{
    boost::system::error_code ignored; // A failed socket is reported by waitForDatagrams().
    return m_socket.available(ignored) > 0;
}

void UdpSocket::waitForDatagrams()
{
    m_socket.async_wait(boost::asio::socket_base::wait_read,
                        [this, alive = std::weak_ptr{m_alive}](boost::system::error_code error) {
                            if (alive.expired())
                                return;
                            if (error) {
                                m_failed(error.message());
                                return;
                            }
                            guarded(m_failed, [this] {
                                readBatches();
                                waitForDatagrams();
                            });
                        });
}

void UdpSocket::readBatches()
{
    // Datagrams that the receive handlers send are flushed together after each batch.
    m_flushScheduled = true;
    for (int round = 0; round < MaxConsecutiveBatches; ++round) {
        if (m_beforeBatch)
            m_beforeBatch();
        const TimePoint begunAt = monotonicNow();
        const std::size_t count = readBatch();
        m_arrivals.read(readClocks());
        deliver(count);
        if (count < m_batchSize)
            m_arrivals.emptied(begunAt);
        flush();
        m_flushScheduled = true;
        if (count < m_batchSize)
            break;
    }
    m_flushScheduled = false;
}

std::size_t UdpSocket::readBatch()
{
    m_batch->prepareReceive();
    const int count = ::recvmmsg(m_socket.native_handle(), m_batch->headers.data(),
                                 static_cast<unsigned>(m_batchSize), MSG_DONTWAIT, nullptr);
    if (count >= 0)
        return static_cast<std::size_t>(count);
    if (!isTransient(errno))
        throw boost::system::system_error(errno, boost::system::system_category(), "recvmmsg");
    return 0;
}

void UdpSocket::deliver(std::size_t count)
{
    m_counters.datagramsIn += count;
    for (std::size_t index = 0; index < count; ++index) {
        mmsghdr &header = m_batch->headers[index];
        m_counters.bytesIn += header.msg_len;
        if ((header.msg_hdr.msg_flags & MSG_TRUNC) != 0) {
            ++m_counters.truncated;
            continue;
        }
        const char *bytes = m_batch->bytes.get() + index * SlotBytes;
        m_receive({fromSockaddr(m_batch->addresses[index]),
                   {bytes, header.msg_len},
                   m_arrivals.arrivedAt(stampOf(header.msg_hdr))});
    }
}

void UdpSocket::dropExpired()
{
    const TimePoint now = monotonicNow();
    m_counters.sendExpired += std::erase_if(m_outgoing, [now](const Outgoing &outgoing) {
        return outgoing.expiresAt.value_or(now) < now;
    });
}

void UdpSocket::flush()
{
    m_flushScheduled = false;
    dropExpired();
    std::size_t sent = 0;
    while (sent < m_outgoing.size()) {
        const std::size_t count = sendBatch(sent);
        if (count > 0) {
            sent += count;
            continue;
        }
        ++m_counters.sendDrops; // The first of the batch can't be sent; the others may still be.
        ++sent;
    }
    m_outgoing.clear();
}

std::size_t UdpSocket::sendBatch(std::size_t first)
{
    const std::size_t size = std::min(m_batchSize, m_outgoing.size() - first);
    for (std::size_t index = 0; index < size; ++index) {
        Outgoing &outgoing = m_outgoing[first + index];
        m_batch->addresses[index] = toSockaddr(outgoing.to);
        m_batch->vectors[index] = {outgoing.bytes.data(), outgoing.bytes.size()};
        msghdr &header = m_batch->headers[index].msg_hdr;
        header = {};
        header.msg_iov = &m_batch->vectors[index];
        header.msg_iovlen = 1;
        header.msg_name = &m_batch->addresses[index];
        header.msg_namelen = sizeof(sockaddr_in);
    }
    const int count = ::sendmmsg(m_socket.native_handle(), m_batch->headers.data(),
                                 static_cast<unsigned>(size), MSG_DONTWAIT);
    if (count <= 0)
        return 0;
    for (int index = 0; index < count; ++index)
        m_counters.bytesOut += m_outgoing[first + static_cast<std::size_t>(index)].bytes.size();
    m_counters.datagramsOut += static_cast<std::uint64_t>(count);
    return static_cast<std::size_t>(count);
}

} // namespace baobabtrail::daemon
