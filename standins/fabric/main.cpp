/// \file
/// \brief Stand-in for the network fabric: forwards each datagram to a random daemon.

#include "command_line.h"
#include "fabric/fabric.h"
#include "support/standin_process.h"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>

DEFINE_uint32(callers_port, 0, "UDP port that callers send to; 0 for a free one");
DEFINE_uint32(uplink_port, 0, "UDP port that targets send to; 0 for a free one");
DEFINE_uint32(control_port, 0, "TCP port of the control API; 0 for a free one");
DEFINE_string(members, "", "addresses of the daemons' data ports, separated by commas");
DEFINE_uint64(seed, 1, "seed of the random number generator");

int main(int argc, char **argv)
{
    using namespace baobabtrail::standins;
    baobabtrail::readFlags(argc, argv,
                           "standin-fabric [flags]: the fabric in front of the daemons");

    boost::asio::io_context context;
    Fabric fabric{context, static_cast<std::uint16_t>(FLAGS_callers_port),
                  static_cast<std::uint16_t>(FLAGS_uplink_port), FLAGS_seed};
    std::vector<std::string> members;
    boost::split(members, FLAGS_members, boost::is_any_of(","), boost::token_compress_on);
    for (const std::string &member : members) {
        if (!member.empty())
            fabric.add(endpointFlag(member));
    }
    const HttpServer server{context, static_cast<std::uint16_t>(FLAGS_control_port),
                            [&fabric](const HttpRequest &request, const HttpReply &reply) {
                                fabric.handle(request, reply);
                            }};
    const StopSignal stop{context, [&context] { context.stop(); }};
    printReady({{"callers", fabric.callersPort()},
                {"uplink", fabric.uplinkPort()},
                {"control", server.port()}});
    context.run();
    return 0;
}
