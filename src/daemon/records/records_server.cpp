#include "daemon/records/records_server.h"

#include <boost/asio/post.hpp>

#include <nng/protocol/reqrep0/rep.h>

namespace baobabtrail::daemon {

namespace {

// A request is a few dozen bytes; a stranger's long message is not read into memory.
constexpr std::size_t MostRequestBytes = 64 << 10;
constexpr nng_duration SendTimeoutMs = 5000;

} // namespace

struct RecordsServer::Worker
{
    Worker(const NngSocket &socket, std::function<void()> done)
        : context(socket)
        , aio(std::move(done))
    {
    }

    NngContext context;
    NngAio aio;
    bool sending = false;
};

RecordsServer::RecordsServer(boost::asio::io_context &context, const Endpoint &local,
                             std::uint32_t contexts, Serve serve, FailureHandler failed)
    : m_context(context)
    , m_serve(std::move(serve))
    , m_failed(std::move(failed))
    , m_socket(&nng_rep0_open)
{
    checkNng(nng_socket_set_size(m_socket.handle(), NNG_OPT_RECVMAXSZ, MostRequestBytes),
             "nng option");
    const std::string url = "tcp://" + toString(local);
    checkNng(nng_listen(m_socket.handle(), url.c_str(), nullptr, 0), url.c_str());

    for (std::uint32_t number = 0; number < contexts; ++number) {
        const auto done = [this, number, alive = std::weak_ptr{m_alive}] {
            boost::asio::post(m_context, [this, number, alive] {
                if (!alive.expired())
                    guarded(m_failed, [&] { completed(*m_workers[number]); });
            });
        };
        m_workers.push_back(std::make_unique<Worker>(m_socket, done));
    }
    for (const auto &worker : m_workers)
        receive(*worker);
}

RecordsServer::~RecordsServer() = default;

void RecordsServer::receive(Worker &worker)
{
    worker.sending = false;
    nng_aio_set_timeout(worker.aio.handle(), NNG_DURATION_INFINITE);
    nng_ctx_recv(worker.context.handle(), worker.aio.handle());
}

void RecordsServer::completed(Worker &worker)
{
    const int result = worker.aio.result();
    if (worker.sending) {
        if (result != 0)
            worker.aio.dropMessage();
        receive(worker);
        return;
    }
    checkNng(result, "receiving a request for records");
    answer(worker);
}

void RecordsServer::answer(Worker &worker)
{
    const auto reply = m_serve(worker.aio.takeMessage());
    if (!reply) {
        receive(worker);
        return;
    }
    worker.aio.setMessage(*reply);
    worker.sending = true;
    nng_aio_set_timeout(worker.aio.handle(), SendTimeoutMs);
    nng_ctx_send(worker.context.handle(), worker.aio.handle());
}

} // namespace baobabtrail::daemon
