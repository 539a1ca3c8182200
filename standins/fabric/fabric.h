#pragma once

#include "core/endpoint.h"
#include "core/random.h"
#include "support/http_server.h"
#include "support/udp_port.h"

#include <set>
#include <vector>

namespace baobabtrail::standins {

/// \brief Injected network faults; PUT /switches sets any of them by name.
struct FabricSwitches
{
    double loss = 0;           ///< Loss probability of each datagram.
    double duplicate = 0;      ///< Probability of a second copy, sent to a random daemon too.
    std::uint64_t delay = 0;   ///< Delay of every datagram, in microseconds.
    std::uint64_t reorder = 0; ///< Maximum extra random delay of each datagram, in microseconds.
    std::set<Endpoint> cut;    ///< Members whose datagrams are dropped.
};

/// \brief Forwards each datagram of callers and targets to a random daemon, behind a PROXY header.
class Fabric
{
public:
    Fabric(boost::asio::io_context &context, std::uint16_t callersPort, std::uint16_t uplinkPort,
           std::uint64_t seed);

    void add(const Endpoint &daemon);
    void remove(const Endpoint &daemon);

    /// \brief Control API: PUT and DELETE /members/ADDRESS, PUT /switches, GET /stats.
    void handle(const HttpRequest &request, const HttpReply &reply);

    [[nodiscard]] std::uint16_t callersPort() const { return m_callers.address().port; }
    [[nodiscard]] std::uint16_t uplinkPort() const { return m_uplink.address().port; }

private:
    void spray(const Endpoint &from, const Endpoint &to, std::string_view bytes);
    void sprayOnce(const Endpoint &from, const Endpoint &to, std::string_view bytes);
    void deliver(const Endpoint &daemon, std::string datagram);
    void setSwitches(const boost::json::object &values);
    void setMember(const HttpRequest &request, const std::string &address);
    [[nodiscard]] boost::json::value stats() const;

    boost::asio::io_context &m_context;
    Random m_random;
    FabricSwitches m_switches;
    std::vector<Endpoint> m_members;
    std::uint64_t m_passed = 0;
    std::uint64_t m_lost = 0;
    UdpPort m_callers;
    UdpPort m_uplink;
};

} // namespace baobabtrail::standins
