#include "daemon/net/link.h"

#include "daemon/net/asio_endpoint.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

namespace baobabtrail::daemon {

using boost::asio::ip::tcp;
using boost::system::error_code;

Link::Link(boost::asio::io_context &context, const LinkSettings &settings, LinkCallbacks callbacks)
    : m_socket(context)
    , m_connectTimer(context)
    , m_settings(settings)
    , m_callbacks(std::move(callbacks))
{
}

void Link::connect(const Endpoint &target)
{
    m_connectTimer.start(m_settings.connectTimeout,
                         [self = shared_from_this()] { self->fail("connect timeout"); });
    m_socket.async_connect(toAsio<tcp>(target), [self = shared_from_this()](error_code error) {
        self->connected(error);
    });
}

void Link::connected(const error_code &error)
{
    if (m_closed)
        return;
    m_connectTimer.cancel();
    if (error) {
        fail(error.message());
        return;
    }
    m_connected = true;
    error_code ignored;
    m_socket.set_option(tcp::no_delay(true), ignored);
    m_callbacks.opened();
    if (m_closed)
        return;
    read();
    write();
}

void Link::read()
{
    m_socket.async_read_some(boost::asio::buffer(m_input),
                             [self = shared_from_this()](error_code error, std::size_t size) {
                                 if (self->m_closed)
                                     return;
                                 if (error) {
                                     self->fail(error.message());
                                     return;
                                 }
                                 self->handleInput(size);
                             });
}

void Link::handleInput(std::size_t size)
{
    std::vector<LinkMessage> messages;
    const auto error = m_reader.feed({m_input.data(), size}, messages);
    for (LinkMessage &message : messages) {
        m_callbacks.received(std::move(message));
        if (m_closed)
            return;
    }
    if (error) {
        fail("the target sent a malformed message");
        return;
    }
    read();
}

void Link::send(const LinkMessage &message)
{
    if (m_closed)
        return;
    m_queued += wire::encodeLink(message);

    // Bounds the memory that a target which has stopped reading can take up; requests would queue
    // here until the daemon runs out of memory. Once the connection is closed it gets no more.
    if (m_queued.size() > m_settings.maxQueuedBytes) {
        boost::asio::post(m_socket.get_executor(), [self = shared_from_this()] {
            self->fail("send queue full, the target does not read");
        });
        return;
    }
    write();
}

void Link::write()
{
    if (!m_connected || m_closed || !m_writing.empty() || m_queued.empty())
        return;
    m_writing.swap(m_queued);
    boost::asio::async_write(m_socket, boost::asio::buffer(m_writing),
                             [self = shared_from_this()](error_code error, std::size_t) {
                                 if (self->m_closed)
                                     return;
                                 if (error) {
                                     self->fail(error.message());
                                     return;
                                 }
                                 self->m_writing.clear();
                                 self->write();
                             });
}

void Link::fail(const std::string &why)
{
    if (m_closed)
        return;
    const auto closed = m_callbacks.closed;
    close();
    closed(why);
}

void Link::close()
{
    m_closed = true;
    m_connectTimer.cancel();
    error_code ignored;
    m_socket.close(ignored);
}

} // namespace baobabtrail::daemon
