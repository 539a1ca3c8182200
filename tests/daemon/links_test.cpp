#include "daemon/net/asio_endpoint.h"
#include "daemon/net/links.h"
#include "wire/codec.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <functional>
#include <string>

#include <criterion/criterion.h>

using namespace baobabtrail;
using namespace baobabtrail::daemon;
using boost::asio::ip::tcp;

namespace {

constexpr TargetId T{5};
constexpr Generation G{3};

/// \brief Links to one listening target; records all events.
struct Fixture
{
    boost::asio::io_context context;
    tcp::acceptor acceptor{context, {boost::asio::ip::address_v4::loopback(), 0}};
    tcp::socket target{context};
    Counters counters;
    std::vector<TrafficEvent> events;
    LinkSettings settings{200ms, 64 << 10};
    Links links{context, settings, counters,
                [this](TrafficEvent event) { events.push_back(std::move(event)); }};

    [[nodiscard]] Endpoint address() const
    {
        return {0x7f000001, acceptor.local_endpoint().port()};
    }
    void runUntil(const std::function<bool()> &condition)
    {
        for (int round = 0; !condition(); ++round) {
            cr_assert_lt(round, 100000, "the condition was never met");
            context.run_one_for(std::chrono::seconds{5});
        }
    }
    void connect()
    {
        bool accepted = false;
        acceptor.async_accept(target, [&](boost::system::error_code) { accepted = true; });
        links.open({T, G, address()});
        runUntil([&] { return accepted && events.size() == 1; });
    }
    template <typename Event>
    [[nodiscard]] bool lastIs() const
    {
        return !events.empty() && std::holds_alternative<Event>(events.back());
    }
};

} // namespace

Test(links, messagesPassInBothDirections)
{
    Fixture fixture;
    fixture.connect();
    cr_assert(fixture.lastIs<LinkOpened>());
    fixture.links.send({T, G, Dispatch{AttemptId{9}, {}, {}, {}, {}, "swap"}});

    std::string got;
    wire::LinkReader reader;
    std::vector<LinkMessage> messages;
    std::array<char, 4096> buffer{};
    fixture.target.async_read_some(
        boost::asio::buffer(buffer),
        [&](boost::system::error_code, std::size_t size) { got.assign(buffer.data(), size); });
    fixture.runUntil([&] { return !got.empty(); });
    cr_assert(!reader.feed(got, messages) && messages.size() == 1);
    cr_assert(std::get<Dispatch>(messages[0]).payload == "swap");

    // One whole message and part of the next, which must be buffered until the rest arrives.
    const std::string done = wire::encodeLink(AttemptDone{AttemptId{9}, {}, "done"});
    const std::string both = done + done;
    boost::asio::write(fixture.target, boost::asio::buffer(both, done.size() + 3));
    fixture.runUntil([&] { return fixture.events.size() == 2; });
    boost::asio::write(fixture.target, boost::asio::buffer(both) + (done.size() + 3));
    fixture.runUntil([&] { return fixture.events.size() == 3; });
    cr_assert(fixture.lastIs<FromLink>());
}

// The target closes the connection, sends malformed data, doesn't listen, or stops reading while it
// is sent work. Each time the traffic node must get exactly one LinkClosed, by which it knows that
// the outcome of its requests is unknown; after its own CloseLink it must get no event.
Test(links, everyBrokenConnectionIsReportedOnce, .timeout = 30)
{
    const std::vector<std::function<void(Fixture &)>> faults{
        [](Fixture &fixture) { fixture.target.close(); },
        [](Fixture &fixture) {
            boost::asio::write(fixture.target, boost::asio::buffer(std::string(16, '\xff')));
        },
        [](Fixture &fixture) {
            const std::string payload(32 << 10, 'x');
            for (int number = 0; number < 1000; ++number)
                fixture.links.send({T, G, Dispatch{AttemptId{1}, {}, {}, {}, {}, payload}});
        },
    };
    for (const auto &breakIt : faults) {
        Fixture fixture;
        fixture.connect();
        breakIt(fixture);
        fixture.runUntil([&] { return fixture.events.size() == 2; });
        cr_assert(fixture.lastIs<LinkClosed>());
        cr_assert_eq(fixture.links.size(), 0);
        fixture.context.poll();
        cr_assert_eq(fixture.events.size(), 2);
    }

    Fixture fixture;
    const Endpoint address = fixture.address();
    fixture.acceptor.close();
    fixture.links.open({T, G, address});
    fixture.runUntil([&] { return fixture.events.size() == 1; });
    cr_assert(fixture.lastIs<LinkClosed>());
    cr_assert_eq(fixture.counters.linksFailed, 1);

    Fixture closed;
    closed.connect();
    closed.links.close({T, G});
    closed.target.close();
    closed.context.poll();
    cr_assert_eq(closed.events.size(), 1);
}
