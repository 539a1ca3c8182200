#include "target/request_server.h"

#include <boost/asio/write.hpp>

#include <algorithm>
#include <sstream>

namespace baobabtrail::standins {

using boost::system::error_code;

void OwnerConnection::read()
{
    m_socket.async_read_some(boost::asio::buffer(m_input),
                             [self = shared_from_this()](error_code error, std::size_t size) {
                                 if (error)
                                     return;
                                 std::vector<LinkMessage> messages;
                                 if (self->m_reader.feed({self->m_input.data(), size}, messages))
                                     return;
                                 for (LinkMessage &message : messages)
                                     self->m_receive(self, std::move(message));
                                 self->read();
                             });
}

void OwnerConnection::send(const LinkMessage &message)
{
    m_queued += wire::encodeLink(message);
    if (m_writing.empty())
        write();
}

void OwnerConnection::write()
{
    m_writing.swap(m_queued);
    boost::asio::async_write(m_socket, boost::asio::buffer(m_writing),
                             [self = shared_from_this()](error_code error, std::size_t) {
                                 self->m_writing.clear();
                                 if (!error && !self->m_queued.empty())
                                     self->write();
                             });
}

RequestServer::RequestServer(boost::asio::io_context &context, std::uint16_t port,
                             TargetState &state)
    : m_context(context)
    , m_state(state)
    , m_acceptor(context, {boost::asio::ip::address_v4::loopback(), port})
{
    accept();
}

void RequestServer::accept()
{
    m_acceptor.async_accept([this](error_code error, boost::asio::ip::tcp::socket socket) {
        if (error)
            return;
        socket.set_option(boost::asio::ip::tcp::no_delay{true}, error);
        const auto receive = [this](const Connection &from, LinkMessage message) {
            take(from, std::move(message));
        };
        std::make_shared<OwnerConnection>(std::move(socket), receive)->read();
        accept();
    });
}

void RequestServer::take(const Connection &from, LinkMessage message)
{
    std::visit([&](auto &&m) { on(from, std::forward<decltype(m)>(m)); }, std::move(message));
}

void RequestServer::on(const Connection &from, const LinkHello &hello)
{
    m_state.generation = std::max(m_state.generation, hello.generation);
    from->send(LinkHelloReply{m_state.settings.service, m_state.reported()});
}

void RequestServer::on(const Connection &from, Dispatch dispatch)
{
    if (dispatch.service != m_state.settings.service) {
        refuse(from, dispatch.attempt, RefusalCause::UnknownService, "wrongService");
        return;
    }
    const bool full
        = m_running >= m_state.settings.slots && m_queue.size() >= m_state.settings.maxQueue;
    if (full || m_state.draining || m_state.shedding) {
        refuse(from, dispatch.attempt, RefusalCause::TargetShed, "shed");
        return;
    }
    const TimePoint deadline = now() + dispatch.timeLeft;
    m_queue.push_back({from, std::move(dispatch), deadline});
    startNext();
}

void RequestServer::on(const Connection &from, const CancelAttempt &cancel)
{
    const auto found = std::find_if(m_queue.begin(), m_queue.end(), [&](const Waiting &waiting) {
        return waiting.dispatch.attempt == cancel.attempt && waiting.from.lock() == from;
    });
    if (found == m_queue.end())
        return; // Already running or finished; the owner is notified when it finishes.
    m_queue.erase(found);
    refuse(from, cancel.attempt, RefusalCause::Cancelled, "cancelled");
}

void RequestServer::startNext()
{
    while (m_running < m_state.settings.slots && !m_queue.empty()) {
        Waiting next = std::move(m_queue.front());
        m_queue.pop_front();
        const Connection from = next.from.lock();
        if (!from)
            continue; // The owner's connection is closed, so the outcome can't be reported.
        if (next.deadline <= now())
            refuse(from, next.dispatch.attempt, RefusalCause::DeadlinePassed, "expired");
        else
            run(std::move(next));
    }
    updateLoad();
}

void RequestServer::run(Waiting waiting)
{
    ++m_running;
    m_state.count("runs");
    ++m_state.runs[waiting.dispatch.request];
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context, m_state.drawServiceTime());
    timer->async_wait([this, timer, waiting = std::move(waiting)](error_code) {
        finish(waiting);
        startNext();
    });
}

void RequestServer::finish(const Waiting &waiting)
{
    --m_running;
    updateLoad();
    const Connection from = waiting.from.lock();
    if (!from)
        return;
    std::ostringstream answer;
    answer << waiting.dispatch.request << ' ' << m_state.settings.service << ' '
           << waiting.dispatch.payload;
    std::string payload = answer.str();
    payload.resize(std::max(payload.size(), m_state.settings.answerBytes), '.');
    from->send(AttemptDone{waiting.dispatch.attempt, m_state.reported(), std::move(payload)});
}

void RequestServer::refuse(const Connection &to, AttemptId attempt, RefusalCause cause,
                           const std::string &counter)
{
    m_state.count(counter);
    to->send(AttemptNotRun{attempt, m_state.reported(), cause});
}

void RequestServer::updateLoad()
{
    m_state.load.running = m_running;
    m_state.load.queued = static_cast<std::uint32_t>(m_queue.size());
}

} // namespace baobabtrail::standins
