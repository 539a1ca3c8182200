#pragma once

#include "core/messages/request.h"
#include "target/target_state.h"
#include "wire/codec.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <list>
#include <memory>

namespace baobabtrail::standins {

/// \brief A TCP connection from the daemon that owns this target.
class OwnerConnection : public std::enable_shared_from_this<OwnerConnection>
{
public:
    using Receive = std::function<void(const std::shared_ptr<OwnerConnection> &, LinkMessage)>;

    OwnerConnection(boost::asio::ip::tcp::socket socket, Receive receive)
        : m_socket(std::move(socket))
        , m_receive(std::move(receive))
    {
    }

    void read();
    void send(const LinkMessage &message);

private:
    void write();

    boost::asio::ip::tcp::socket m_socket;
    Receive m_receive;
    wire::LinkReader m_reader;
    std::array<char, 65536> m_input{};
    std::string m_queued;
    std::string m_writing;
};

/// \brief Runs the requests of a target over TCP, in a fixed number of slots behind a bounded
/// queue.
class RequestServer
{
public:
    RequestServer(boost::asio::io_context &context, std::uint16_t port, TargetState &state);

    [[nodiscard]] std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

private:
    using Connection = std::shared_ptr<OwnerConnection>;
    struct Waiting
    {
        std::weak_ptr<OwnerConnection> from;
        Dispatch dispatch;
        TimePoint deadline;
    };

    void accept();
    void take(const Connection &from, LinkMessage message);
    void on(const Connection &from, const LinkHello &hello);
    void on(const Connection &from, Dispatch dispatch);
    void on(const Connection &from, const CancelAttempt &cancel);
    template <typename Other>
    void on(const Connection &, const Other &)
    {
    }
    void startNext();
    void run(Waiting waiting);
    void finish(const Waiting &waiting);
    void refuse(const Connection &to, AttemptId attempt, RefusalCause cause,
                const std::string &counter);
    void updateLoad();

    boost::asio::io_context &m_context;
    TargetState &m_state;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::list<Waiting> m_queue;
    std::uint32_t m_running = 0;
};

} // namespace baobabtrail::standins
