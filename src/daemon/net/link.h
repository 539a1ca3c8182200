#pragma once

#include "core/messages/request.h"
#include "daemon/settings/settings.h"
#include "net/restartable_timer.h"
#include "wire/codec.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace baobabtrail::daemon {

/// \brief Callbacks of a connection to a target. None is called from within Link's public
/// functions, and none after close().
struct LinkCallbacks
{
    std::function<void()> opened;
    std::function<void(LinkMessage)> received;
    std::function<void(const std::string &why)> closed; ///< Always the last callback.
};

/// \brief A TCP connection to a target.
///
/// Nothing is retransmitted after the connection breaks: queued and sent messages are dropped, and
/// the traffic node decides what that means for their requests.
class Link : public std::enable_shared_from_this<Link>
{
public:
    Link(boost::asio::io_context &context, const LinkSettings &settings, LinkCallbacks callbacks);

    void connect(const Endpoint &target);
    void send(const LinkMessage &message);
    /// \brief Closes the connection; no callback is called any more.
    void close();

private:
    void connected(const boost::system::error_code &error);
    void read();
    void handleInput(std::size_t size);
    void write();
    void fail(const std::string &why);

    static constexpr std::size_t ReadBytes = 16 << 10;

    boost::asio::ip::tcp::socket m_socket;
    RestartableTimer m_connectTimer;
    LinkSettings m_settings;
    LinkCallbacks m_callbacks;
    wire::LinkReader m_reader;
    std::array<char, ReadBytes> m_input;
    std::string m_queued;  ///< To be written after the write in progress.
    std::string m_writing; ///< Empty where no write is in progress.
    bool m_connected = false;
    bool m_closed = false;
};

} // namespace baobabtrail::daemon
