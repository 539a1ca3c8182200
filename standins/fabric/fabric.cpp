#include "fabric/fabric.h"

#include "support/standin_process.h"
#include "wire/codec.h"

#include <boost/random/uniform_int_distribution.hpp>

namespace baobabtrail::standins {

namespace {

constexpr std::string_view MembersPath = "/members/";

[[nodiscard]] std::string textOf(const boost::json::value &value)
{
    return {value.as_string().data(), value.as_string().size()};
}

} // namespace

Fabric::Fabric(boost::asio::io_context &context, std::uint16_t callersPort,
               std::uint16_t uplinkPort, std::uint64_t seed)
    : m_context(context)
    , m_random(seed)
    , m_callers(context, callersPort,
                [this](const Endpoint &from, std::string_view bytes) {
                    spray(from, m_callers.address(), bytes);
                })
    , m_uplink(context, uplinkPort, [this](const Endpoint &from, std::string_view bytes) {
        spray(from, m_uplink.address(), bytes);
    })
{
}

void Fabric::add(const Endpoint &daemon)
{
    remove(daemon);
    m_members.push_back(daemon);
}

void Fabric::remove(const Endpoint &daemon)
{
    std::erase(m_members, daemon);
}

void Fabric::spray(const Endpoint &from, const Endpoint &to, std::string_view bytes)
{
    sprayOnce(from, to, bytes);
    if (chance(m_random, m_switches.duplicate))
        sprayOnce(from, to, bytes);
}

void Fabric::sprayOnce(const Endpoint &from, const Endpoint &to, std::string_view bytes)
{
    if (m_members.empty() || chance(m_random, m_switches.loss)) {
        ++m_lost;
        return;
    }
    boost::random::uniform_int_distribution<std::size_t> any{0, m_members.size() - 1};
    const Endpoint daemon = m_members[any(m_random)];
    if (m_switches.cut.contains(daemon)) {
        ++m_lost;
        return;
    }
    ++m_passed;
    std::string datagram = wire::proxyHeader(from, to);
    datagram.append(bytes);
    deliver(daemon, std::move(datagram));
}

void Fabric::deliver(const Endpoint &daemon, std::string datagram)
{
    boost::random::uniform_int_distribution<std::uint64_t> extra{0, m_switches.reorder};
    const Duration delay{m_switches.delay + extra(m_random)};
    if (delay == Duration{0}) {
        m_callers.send(daemon, datagram);
        return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context, delay);
    timer->async_wait([this, timer, daemon, datagram = std::move(datagram)](
                          boost::system::error_code) { m_callers.send(daemon, datagram); });
}

void Fabric::handle(const HttpRequest &request, const HttpReply &reply)
{
    const UrlParts url = parseUrl({request.target().data(), request.target().size()});
    try {
        if (url.path == "/stats") {
            reply(jsonResponse(stats()));
            return;
        }
        if (url.path == "/switches")
            setSwitches(boost::json::parse(request.body()).as_object());
        else if (url.path.starts_with(MembersPath))
            setMember(request, url.path.substr(MembersPath.size()));
        else
            throw std::invalid_argument("unknown path");
        reply(response(http::status::no_content));
    } catch (const std::exception &error) {
        reply(response(http::status::bad_request, std::string{error.what()} + '\n'));
    }
}

void Fabric::setMember(const HttpRequest &request, const std::string &address)
{
    const Endpoint daemon = endpointFlag(address);
    if (request.method() == http::verb::delete_)
        remove(daemon);
    else
        add(daemon);
}

void Fabric::setSwitches(const boost::json::object &values)
{
    for (const auto &[name, value] : values) {
        if (name == "loss") {
            m_switches.loss = value.to_number<double>();
        } else if (name == "duplicate") {
            m_switches.duplicate = value.to_number<double>();
        } else if (name == "delay") {
            m_switches.delay = value.to_number<std::uint64_t>();
        } else if (name == "reorder") {
            m_switches.reorder = value.to_number<std::uint64_t>();
        } else if (name == "cut") {
            m_switches.cut.clear();
            for (const auto &address : value.as_array())
                m_switches.cut.insert(endpointFlag(textOf(address)));
        } else {
            throw std::invalid_argument("unknown switch " + std::string{name});
        }
    }
}

boost::json::value Fabric::stats() const
{
    boost::json::array members;
    for (const Endpoint &member : m_members)
        members.emplace_back(toString(member));
    return {{"members", std::move(members)}, {"passed", m_passed}, {"lost", m_lost}};
}

} // namespace baobabtrail::standins
