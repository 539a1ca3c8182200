/// \file
/// \brief The platform fills in the template where a bound is a fraction: grace_s = 6.5.

#include "deployment.h"

#include <iostream>

using namespace review;

int main(int argc, char **argv)
{
    const bool trouble = argc < 3 || std::string{argv[2]} != "0";
    Record record{argc > 1 ? argv[1] : "record.txt"};
    asio::io_context context;
    record.line("grace_s is ", trouble ? "6.5" : "6");
    Deployment deployment{context, record, trouble ? "6.5" : "6"};
    std::size_t ended = 0;
    ClientLog log;
    std::vector<std::unique_ptr<Client>> clients;
    // Traffic starts 10 s after the machines do, and is watched for 10 s.
    for (int step = 0; step < 20; ++step) {
        context.run_for(1s);
        ended += deployment.restartEnded();
        if (step != 9)
            continue;
        for (std::size_t zone = 0; zone < Zones.size(); ++zone) {
            for (std::uint32_t index = 0; index < 12; ++index) {
                clients.push_back(std::make_unique<Client>(
                    context,
                    Endpoint{0x7F000500U + static_cast<std::uint32_t>(zone) * 0x100 + index,
                             deployment.packetPort()},
                    deployment.route(), 1,
                    [&deployment, zone](const Endpoint &client) {
                        return deployment.choose(zone, client);
                    },
                    log, record));
                clients.back()->start();
            }
        }
    }
    const bool broken = !deployment.allReady() || log.answered == 0;
    record.line("ends of daemons by themselves: ", ended, "; flows that did not open ",
                log.unopened, ", requests answered ", log.answered);
    std::cout << (broken ? "Fault: " : "no fault: ") << ended << " ends, " << log.unopened
              << " flows not opened, " << log.answered << " answered\n";
    return broken ? 1 : 0;
}
