#include "daemon/records/records_client.h"

#include "daemon/clock.h"
#include "wire/codec.h"

#include <boost/asio/post.hpp>

#include <nng/protocol/reqrep0/req.h>

namespace baobabtrail::daemon {

namespace {

constexpr Duration IdleTime = 30s;
// A snapshot comes in shards of at most a megabyte each, all in one message.
constexpr std::size_t MostAnswerBytes = 64 << 20;
constexpr nng_duration RedialMs = 500;

} // namespace

/// \brief A socket that is dialled to one peer; nng gives a request to any peer of a socket.
struct RecordsClient::Connection
{
    explicit Connection(const Endpoint &peer)
        : socket(&nng_req0_open)
    {
        checkNng(nng_socket_set_size(socket.handle(), NNG_OPT_RECVMAXSZ, MostAnswerBytes),
                 "nng option");
        checkNng(nng_socket_set_ms(socket.handle(), NNG_OPT_RECONNMINT, RedialMs), "nng option");
        const std::string url = "tcp://" + toString(peer);
        checkNng(nng_dial(socket.handle(), url.c_str(), nullptr, NNG_FLAG_NONBLOCK), url.c_str());
    }

    NngSocket socket;
    TimePoint lastUsed;
};

struct RecordsClient::Call
{
    Call(std::shared_ptr<Connection> to, std::function<void()> completed, Handler handler)
        : connection(std::move(to))
        , context(connection->socket)
        , aio(std::move(completed))
        , done(std::move(handler))
    {
    }

    std::shared_ptr<Connection> connection;
    NngContext context;
    NngAio aio;
    Handler done;
    bool sending = true;
};

RecordsClient::RecordsClient(boost::asio::io_context &context, Duration timeout)
    : m_context(context)
    , m_timeout(timeout)
{
}

RecordsClient::~RecordsClient()
{
    for (auto &[number, call] : m_calls)
        boost::asio::post(m_context, [done = std::move(call->done)] { done(std::nullopt); });
}

void RecordsClient::fetch(const Endpoint &peer, const std::string &request, Handler done)
{
    closeIdleConnections();
    const CallNumber number = m_nextCall++;
    try {
        const auto completion = [this, number, alive = std::weak_ptr{m_alive}] {
            boost::asio::post(m_context, [this, number, alive] {
                if (!alive.expired())
                    completed(number);
            });
        };
        m_calls[number] = std::make_unique<Call>(connectionTo(peer), completion, done);
        start(number, request);
    } catch (const std::exception &) {
        m_calls.erase(number);
        m_connections.erase(peer);
        boost::asio::post(m_context, [done = std::move(done)] { done(std::nullopt); });
    }
}

std::shared_ptr<RecordsClient::Connection> RecordsClient::connectionTo(const Endpoint &peer)
{
    std::shared_ptr<Connection> &connection = m_connections[peer];
    if (!connection)
        connection = std::make_shared<Connection>(peer);
    connection->lastUsed = monotonicNow();
    return connection;
}

void RecordsClient::closeIdleConnections()
{
    const TimePoint now = monotonicNow();
    std::erase_if(m_connections, [now](const auto &entry) {
        return entry.second.use_count() == 1 && now - entry.second->lastUsed > IdleTime;
    });
}

void RecordsClient::start(CallNumber number, const std::string &request)
{
    Call &call = *m_calls[number];
    const auto timeout = std::chrono::duration_cast<std::chrono::milliseconds>(m_timeout);
    nng_aio_set_timeout(call.aio.handle(), static_cast<nng_duration>(timeout.count()));
    call.aio.setMessage(request);
    nng_ctx_send(call.context.handle(), call.aio.handle());
}

void RecordsClient::completed(CallNumber number)
{
    const auto found = m_calls.find(number);
    if (found == m_calls.end())
        return;
    Call &call = *found->second;
    const bool failed = call.aio.result() != 0;
    if (failed && call.sending)
        call.aio.dropMessage();
    if (failed) {
        finish(number, std::nullopt);
        return;
    }
    if (call.sending) {
        call.sending = false;
        nng_ctx_recv(call.context.handle(), call.aio.handle());
        return;
    }
    finish(number, call.aio.takeMessage());
}

void RecordsClient::finish(CallNumber number, std::optional<std::string> answer)
{
    const auto node = m_calls.extract(number);
    // A peer that did not answer is dialled anew next time; its socket would go on trying.
    if (!answer)
        std::erase_if(m_connections, [&node](const auto &entry) {
            return entry.second == node.mapped()->connection;
        });
    node.mapped()->done(std::move(answer));
}

} // namespace baobabtrail::daemon
