/// \file
/// \brief Another writer puts entries without content among the servers, under names that differ
/// from those of live servers in letters that are no hexadecimal digits, and removes them again.

#include "deployment.h"

#include <iostream>

using namespace review;

int main(int argc, char **argv)
{
    const bool trouble = argc < 3 || std::string{argv[2]} != "0";
    Record record{argc > 1 ? argv[1] : "record.txt"};
    asio::io_context context;
    Deployment deployment{context, record};
    const auto until = [&](double seconds) {
        const double left = seconds - record.seconds();
        if (left > 0)
            context.run_for(std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::duration<double>(left)));
    };
    for (int step = 0; step < 150 && !deployment.allReady(); ++step)
        until(record.seconds() + 0.1);
    if (!deployment.allReady()) {
        std::cout << "the daemons did not become ready\n";
        return 2;
    }
    ClientLog log;
    std::vector<std::unique_ptr<Client>> clients;
    for (std::size_t zone = 0; zone < Zones.size(); ++zone) {
        for (std::uint32_t index = 0; index < 12; ++index) {
            clients.push_back(std::make_unique<Client>(
                context,
                Endpoint{0x7F000500U + static_cast<std::uint32_t>(zone) * 0x100 + index,
                         deployment.packetPort()},
                deployment.route(), 6,
                [&deployment, zone](const Endpoint &client) {
                    return deployment.choose(zone, client);
                },
                log, record));
            clients.back()->start();
        }
    }
    const double begin = record.seconds();
    until(begin + 6);
    const std::vector<std::size_t> named{0, 1, 7, 8, 13, 14};
    if (trouble) {
        for (const std::size_t index : named)
            deployment.writeEntry(boost::json::object{
                {"meta", {{"name", deployment.servers()[index]->name() + ".tmp"}}},
                {"spec", boost::json::object{}}});
        record.line("another writer created ", named.size(), " entries without any field: ID.tmp");
    }
    until(begin + 9);
    if (trouble) {
        for (const std::size_t index : named)
            deployment.removeEntry(deployment.servers()[index]->name() + ".tmp");
        record.line("the other writer removed its entries");
    }
    until(begin + 40);
    const std::size_t broken = log.resets.size();
    record.line("asked ", log.asked, ", answered ", log.answered, ", no answer in time ",
                log.timedOut, ", flows not opened ", log.unopened, ", flows refused ", log.refused,
                ", wrong answers ", log.wrong);
    record.line("open flows of live servers reset by the system: ", broken);
    std::cout << (broken > 0 ? "FLOW broken " : "FLOW held ") << broken << "; asked " << log.asked
              << " answered " << log.answered << " timed out " << log.timedOut << " unopened "
              << log.unopened << " refused " << log.refused << '\n';
    return broken > 0 ? 1 : 0;
}
