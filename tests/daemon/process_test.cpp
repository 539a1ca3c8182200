#include "core/access_key.h"
#include "support/process.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <string>

#include <criterion/criterion.h>

using boost::asio::ip::tcp;
using boost::asio::ip::udp;

namespace {

using Clock = std::chrono::steady_clock;
constexpr std::chrono::seconds StartTimeout{20};

/// \brief A settings file with a secret and free ports, in a temporary directory.
class Fixture
{
public:
    explicit Fixture(const std::string &more = {})
    {
        std::string pattern = std::filesystem::temp_directory_path() / "daemon-XXXXXX";
        m_path = ::mkdtemp(pattern.data());
        const auto secret = m_path / "secret";
        std::ofstream{secret} << std::string(40, 's');
        std::filesystem::permissions(secret, std::filesystem::perms::owner_read);
        std::ofstream{file()} << R"({"daemon": 1, "domain": "alx-raml", "fabric": ["127.0.0.1"],
            "addresses": {"data": ")"
                              << address(data) << R"(", "peer": ")" << address(freePort<udp>())
                              << R"(", "records": ")" << address(freePort<tcp>())
                              << R"(", "administration": ")" << address(administration)
                              << R"("}, "platform": {"address": "127.0.0.1:1"},
            "clusterSecretFile": ")"
                              << secret.string()
                              << R"(", "administration": {"operatorKeyHashes": [")"
                              << baobabtrail::accessKeyHash("key") << "\"]}" << more << "}";
    }
    ~Fixture() { std::filesystem::remove_all(m_path); }
    Fixture(const Fixture &) = delete;
    Fixture &operator=(const Fixture &) = delete;

    [[nodiscard]] std::filesystem::path file() const { return m_path / "settings.json"; }
    [[nodiscard]] std::vector<std::string> arguments() const
    {
        return {"--settings=" + file().string()};
    }

    template <typename Protocol>
    [[nodiscard]] static std::uint16_t freePort()
    {
        boost::asio::io_context context;
        typename Protocol::socket socket{context, {boost::asio::ip::address_v4::loopback(), 0}};
        return socket.local_endpoint().port();
    }

    const std::uint16_t data = freePort<udp>();
    const std::uint16_t administration = freePort<tcp>();

private:
    [[nodiscard]] static std::string address(std::uint16_t port)
    {
        return "127.0.0.1:" + std::to_string(port);
    }

    std::filesystem::path m_path;
};

/// \return The whole reply; empty if the daemon does not answer.
[[nodiscard]] std::string sendRequest(std::uint16_t port, const std::string &request)
{
    boost::asio::io_context context;
    tcp::socket socket{context};
    boost::system::error_code error;
    socket.connect({boost::asio::ip::address_v4::loopback(), port}, error);
    if (error)
        return {};
    boost::asio::write(socket, boost::asio::buffer(request), error);
    std::string reply;
    boost::asio::read(socket, boost::asio::dynamic_buffer(reply), error);
    return reply;
}

[[nodiscard]] std::string get(std::uint16_t port, const std::string &path)
{
    return sendRequest(port, "GET " + path + " HTTP/1.0\r\n\r\n");
}

[[nodiscard]] std::string execute(std::uint16_t port, const std::string &key)
{
    const std::string body = R"({"text": "show revision"})";
    return sendRequest(port, "POST /v1/execute HTTP/1.0\r\nAuthorization: Bearer " + key
                                 + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
                                 + body);
}

void waitUntilHealthy(std::uint16_t port)
{
    const auto end = Clock::now() + StartTimeout;
    while (get(port, "/healthz").find("200 OK") == std::string::npos)
        cr_assert(Clock::now() < end, "the daemon does not answer");
}

} // namespace

Test(process, servesItsAdministrationApiAndStopsOnSigterm, .timeout = 60)
{
    const Fixture fixture{R"(, "stopLinger": "50ms")"};
    baobabtrail::test::Process daemon{"baobabtraild", fixture.arguments(),
                                      baobabtrail::test::Process::Output::Inherited};
    waitUntilHealthy(fixture.administration);
    const std::string metrics = get(fixture.administration, "/metrics");
    cr_assert(metrics.find("\nbaobabtrail_config_revision 0\n") != std::string::npos);
    cr_assert(execute(fixture.administration, "key").find("200 OK") != std::string::npos);
    cr_assert(execute(fixture.administration, "wrong").find("401") != std::string::npos);
    cr_assert(execute(fixture.administration, "").find("401") != std::string::npos);
    cr_assert(get(fixture.administration, "/elsewhere").find("404") != std::string::npos);
    daemon.send(SIGTERM);
    cr_assert_eq(daemon.waitForEnd(), 0);
}

// A daemon without requests in progress is stopped while the fabric still sends it datagrams of
// established feeds. If it exited at once, each of these datagrams would be lost. It must run until
// the fabric has been quiet for a while, and then exit with status 0.
Test(process, stopWaitsUntilTheFabricIsQuiet, .timeout = 60)
{
    const Fixture fixture{R"(, "stopLinger": "1s")"};
    baobabtrail::test::Process daemon{"baobabtraild", fixture.arguments(),
                                      baobabtrail::test::Process::Output::Inherited};
    waitUntilHealthy(fixture.administration);
    daemon.send(SIGTERM);

    boost::asio::io_context context;
    udp::socket fabric{context, udp::v4()};
    const udp::endpoint data{boost::asio::ip::address_v4::loopback(), fixture.data};
    const auto end = Clock::now() + std::chrono::seconds{3};
    while (Clock::now() < end) {
        fabric.send_to(boost::asio::buffer("a datagram"), data);
        cr_assert(get(fixture.administration, "/healthz").find("200 OK") != std::string::npos);
    }
    cr_assert_eq(daemon.waitForEnd(), 0);
}

// The settings are invalid, or a port stays in use however often its component is restarted. The
// exit status must distinguish the two, since only the second one is worth a restart.
Test(process, endsWithAStatusThatSaysWhy, .timeout = 60)
{
    const Fixture wrong{R"(, "stopTimout": "1s")"};
    baobabtrail::test::Process refused{"baobabtraild", wrong.arguments(),
                                       baobabtrail::test::Process::Output::Inherited};
    cr_assert_eq(refused.waitForEnd(), 2);

    const Fixture fixture{R"(, "restarts": {"firstDelay": "1ms", "maxFailures": 2})"};
    boost::asio::io_context context;
    const udp::socket taken{context, {boost::asio::ip::address_v4::loopback(), fixture.data}};
    baobabtrail::test::Process failing{"baobabtraild", fixture.arguments(),
                                       baobabtrail::test::Process::Output::Inherited};
    cr_assert_eq(failing.waitForEnd(), 70);
}
