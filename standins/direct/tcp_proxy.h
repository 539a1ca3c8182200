#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <list>
#include <memory>

namespace baobabtrail::standins {

/// \brief A loopback TCP proxy that injects faults into its connections.
class TcpProxy
{
public:
    enum class Mode {
        Pass,
        Delayed,    ///< Delays answers by 300 ms.
        Refusing,   ///< Resets new and open connections.
        Silent,     ///< Discards all data both ways; connections stay open.
        Unanswered, ///< Forwards requests and discards answers.
    };
    using tcp = boost::asio::ip::tcp;

    TcpProxy(boost::asio::io_context &context, std::uint16_t server)
        : TcpProxy(context, {boost::asio::ip::address_v4::loopback(), 0},
                   {boost::asio::ip::address_v4::loopback(), server})
    {
    }

    TcpProxy(boost::asio::io_context &context, const tcp::endpoint &local,
             const tcp::endpoint &server)
        : m_context(context)
        , m_acceptor(context, local)
        , m_server(server)
    {
        accept();
    }

    /// \brief Limits the total rate of answers over all connections; 0 for unlimited.
    void setBytesPerSecond(std::uint64_t rate) { m_bytesPerSecond = rate; }

    [[nodiscard]] std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

    void set(Mode mode)
    {
        m_mode = mode;
        if (mode != Mode::Refusing)
            return;
        for (const auto &weak : m_links) {
            if (const auto link = weak.lock())
                link->close();
        }
        m_links.clear();
    }

private:
    using Clock = std::chrono::steady_clock;

    /// \return Delay before a chunk of an answer is forwarded.
    [[nodiscard]] Clock::duration delayOf(std::size_t bytes, Mode mode)
    {
        Clock::duration delay{0};
        if (mode == Mode::Delayed)
            delay += std::chrono::milliseconds{300};
        if (m_bytesPerSecond == 0)
            return delay;
        const Clock::duration second = std::chrono::seconds{1};
        const Clock::duration passing = second * bytes / m_bytesPerSecond;
        m_freeAt = std::max(m_freeAt, Clock::now()) + passing;
        return delay + (m_freeAt - Clock::now());
    }

    struct Link : std::enable_shared_from_this<Link>
    {
        Link(TcpProxy &ownProxy, tcp::socket caller)
            : proxy(ownProxy)
            , client(std::move(caller))
            , server(ownProxy.m_context)
        {
        }

        void close()
        {
            boost::system::error_code ignored;
            client.set_option(boost::asio::socket_base::linger(true, 0), ignored);
            client.close(ignored);
            server.close(ignored);
        }

        void pump(tcp::socket &from, tcp::socket &to, std::array<char, 16384> &buffer, bool answers)
        {
            from.async_read_some(boost::asio::buffer(buffer),
                                 [self = shared_from_this(), &from, &to, &buffer,
                                  answers](boost::system::error_code error, std::size_t size) {
                                     if (error) {
                                         self->close();
                                         return;
                                     }
                                     self->pass(from, to, buffer, size, answers);
                                 });
        }

        void pass(tcp::socket &from, tcp::socket &to, std::array<char, 16384> &buffer,
                  std::size_t size, bool answers)
        {
            const Mode mode = proxy.m_mode;
            if (mode == Mode::Silent || (mode == Mode::Unanswered && answers)) {
                pump(from, to, buffer, answers); // Discard the data.
                return;
            }
            const auto write = [self = shared_from_this(), &from, &to, &buffer, size, answers] {
                boost::asio::async_write(to, boost::asio::buffer(buffer, size),
                                         [self, &from, &to, &buffer,
                                          answers](boost::system::error_code error, std::size_t) {
                                             if (error)
                                                 self->close();
                                             else
                                                 self->pump(from, to, buffer, answers);
                                         });
            };
            const auto delay = answers ? proxy.delayOf(size, mode) : Clock::duration{0};
            if (delay == Clock::duration{0}) {
                write();
                return;
            }
            auto timer = std::make_shared<boost::asio::steady_timer>(proxy.m_context, delay);
            timer->async_wait([timer, write](boost::system::error_code) { write(); });
        }

        TcpProxy &proxy;
        tcp::socket client;
        tcp::socket server;
        std::array<char, 16384> asked{};
        std::array<char, 16384> answered{};
    };

    void accept()
    {
        m_acceptor.async_accept([this](boost::system::error_code error, tcp::socket socket) {
            if (error == boost::asio::error::operation_aborted)
                return;
            if (!error)
                begin(std::move(socket));
            accept();
        });
    }

    void begin(tcp::socket socket)
    {
        const auto link = std::make_shared<Link>(*this, std::move(socket));
        if (m_mode == Mode::Refusing) {
            link->close();
            return;
        }
        m_links.remove_if([](const auto &known) { return known.expired(); });
        m_links.push_back(link);
        link->server.async_connect(m_server, [link](boost::system::error_code error) {
            if (error) {
                link->close();
                return;
            }
            link->pump(link->client, link->server, link->asked, false);
            link->pump(link->server, link->client, link->answered, true);
        });
    }

    boost::asio::io_context &m_context;
    tcp::acceptor m_acceptor;
    tcp::endpoint m_server;
    Mode m_mode = Mode::Pass;
    std::uint64_t m_bytesPerSecond = 0;
    Clock::time_point m_freeAt{}; ///< When all data received so far has been forwarded.
    std::list<std::weak_ptr<Link>> m_links;
};

} // namespace baobabtrail::standins
