#include "daemon/quiet_wait.h"
#include "support/stall_process.h"

#include <boost/asio/ip/udp.hpp>
#include <criterion/criterion.h>

#include <array>

using namespace baobabtrail;
using namespace baobabtrail::daemon;
using namespace baobabtrail::test;
using boost::asio::ip::udp;

namespace {

constexpr Duration Wait = 10ms;

} // namespace

// Guards against a daemon that exits while segments of callers are still unread in its socket.
Test(quietWait, unreadDatagramsExtendTheWait)
{
    boost::asio::io_context context;
    udp::socket receiver{context, {boost::asio::ip::address_v4::loopback(), 0}};
    const udp::endpoint address = receiver.local_endpoint();

    std::uint64_t read = 0;
    const auto unread = [&] { return receiver.available() > 0; };
    QuietWait quiet{context};
    RestartableTimer busy{context};
    bool done = false;
    busy.start(Wait, [&] { receiver.send_to(boost::asio::buffer("late"), address); });
    quiet.start(Wait, {read, unread}, [&] {
        done = true;
        cr_expect_eq(receiver.available(), 0U, "segments are lost");
    });
    receiver.async_wait(boost::asio::socket_base::wait_read, [&](boost::system::error_code) {
        std::array<char, 8> bytes{};
        receiver.receive(boost::asio::buffer(bytes));
        ++read;
    });
    stallProcess(2 * Wait);
    context.run_for(1s);
    cr_assert(done);
    cr_assert_eq(read, 1U);
}
