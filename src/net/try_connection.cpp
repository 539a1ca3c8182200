#include "net/try_connection.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <utility>

namespace baobabtrail {

namespace {

using boost::asio::ip::tcp;

/// A timer that fires later than this shows that the process was stalled, so that a response may
/// have arrived that is not processed yet.
constexpr Duration MaxTimerDelay = 50ms;

/// \brief One attempt to connect; lives until both its timer and its connect have completed.
struct Try : std::enable_shared_from_this<Try>
{
    Try(boost::asio::io_context &context, std::function<void(Connected)> whenDone)
        : socket(context)
        , timer(context)
        , done(std::move(whenDone))
    {
    }

    void start(const Endpoint &server, Duration timeout)
    {
        timer.expires_after(timeout);
        timer.async_wait([self = shared_from_this()](boost::system::error_code error) {
            if (error)
                return;
            const Duration late = std::chrono::duration_cast<Duration>(
                std::chrono::steady_clock::now() - self->timer.expiry());
            self->end(late > MaxTimerDelay ? Connected::Unsure : Connected::No);
        });
        const tcp::endpoint endpoint{boost::asio::ip::address_v4{server.address}, server.port};
        socket.async_connect(endpoint,
                             [self = shared_from_this()](boost::system::error_code error) {
                                 self->end(endOf(error));
                             });
    }

    [[nodiscard]] static Connected endOf(const boost::system::error_code &error)
    {
        namespace errors = boost::asio::error;
        if (!error)
            return Connected::Yes;
        const bool answered
            = error == errors::connection_refused || error == errors::connection_reset;
        return answered ? Connected::Refused : Connected::No;
    }

    void end(Connected end)
    {
        const auto handler = std::exchange(done, nullptr);
        if (!handler)
            return;
        timer.cancel();
        boost::system::error_code ignored; // Nothing was sent, so no data can be lost.
        socket.close(ignored);
        handler(end);
    }

    tcp::socket socket;
    boost::asio::steady_timer timer;
    std::function<void(Connected)> done;
};

} // namespace

void tryConnection(boost::asio::io_context &context, const Endpoint &server, Duration timeout,
                   std::function<void(Connected)> done)
{
    std::make_shared<Try>(context, std::move(done))->start(server, timeout);
}

} // namespace baobabtrail
