#pragma once

#include <nng/nng.h>

#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>

namespace baobabtrail::daemon {

/// \brief Throws std::runtime_error with nng's own text where a call failed.
inline void checkNng(int result, const char *what)
{
    if (result != 0)
        throw std::runtime_error(std::string{what} + ": " + nng_strerror(result));
}

/// \brief Owns an nng socket.
class NngSocket
{
public:
    /// \param open nng_rep0_open or nng_req0_open.
    explicit NngSocket(int (*open)(nng_socket *)) { checkNng(open(&m_socket), "nng socket"); }
    ~NngSocket() { nng_close(m_socket); }
    NngSocket(const NngSocket &) = delete;
    NngSocket &operator=(const NngSocket &) = delete;

    [[nodiscard]] nng_socket handle() const noexcept { return m_socket; }

private:
    nng_socket m_socket = NNG_SOCKET_INITIALIZER;
};

/// \brief Owns a context: one conversation on a socket.
class NngContext
{
public:
    explicit NngContext(const NngSocket &socket)
    {
        checkNng(nng_ctx_open(&m_context, socket.handle()), "nng context");
    }
    ~NngContext() { nng_ctx_close(m_context); }
    NngContext(const NngContext &) = delete;
    NngContext &operator=(const NngContext &) = delete;

    [[nodiscard]] nng_ctx handle() const noexcept { return m_context; }

private:
    nng_ctx m_context = NNG_CTX_INITIALIZER;
};

/// \brief Owns an asynchronous operation of nng.
class NngAio
{
public:
    /// \param done Called on a thread of nng's at the end of each operation; only posts.
    explicit NngAio(std::function<void()> done)
        : m_done(std::move(done))
    {
        checkNng(nng_aio_alloc(&m_aio, &NngAio::completed, this), "nng operation");
    }
    /// \brief Cancels what is under way and waits until its callback has returned.
    ~NngAio()
    {
        nng_aio_stop(m_aio);
        nng_aio_free(m_aio);
    }
    NngAio(const NngAio &) = delete;
    NngAio &operator=(const NngAio &) = delete;

    [[nodiscard]] nng_aio *handle() const noexcept { return m_aio; }
    [[nodiscard]] int result() const noexcept { return nng_aio_result(m_aio); }

    /// \brief Puts a message on the operation, for a send.
    void setMessage(std::string_view bytes)
    {
        nng_msg *message = nullptr;
        checkNng(nng_msg_alloc(&message, 0), "nng message");
        nng_msg_append(message, bytes.data(), bytes.size());
        nng_aio_set_msg(m_aio, message);
    }
    /// \brief Frees the message of a send that failed; nng frees that of one that went out.
    void dropMessage() noexcept
    {
        nng_msg_free(nng_aio_get_msg(m_aio));
        nng_aio_set_msg(m_aio, nullptr);
    }
    /// \return The content of the received message, which is freed.
    [[nodiscard]] std::string takeMessage()
    {
        const std::unique_ptr<nng_msg, decltype(&nng_msg_free)> message{nng_aio_get_msg(m_aio),
                                                                        &nng_msg_free};
        nng_aio_set_msg(m_aio, nullptr);
        return {static_cast<const char *>(nng_msg_body(message.get())), nng_msg_len(message.get())};
    }

private:
    static void completed(void *self) { static_cast<NngAio *>(self)->m_done(); }

    std::function<void()> m_done;
    nng_aio *m_aio = nullptr;
};

} // namespace baobabtrail::daemon
