/// \file
/// \brief The store is down for 4.5 s, and one daemon is partitioned from it as it returns, while
/// the answer to that daemon's watch is on its way. Long after both, two daemons are replaced.

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
    double troubleEnds = begin + 10;
    std::optional<std::size_t> chosen;
    until(begin + 4);
    if (trouble) {
        deployment.storeDown();
        until(begin + 8.5);
        // The first of the daemons that watch the store to get an answer after its return.
        for (const std::size_t root : Deployment::Roots) {
            deployment.linkOf(root).partitionAt(
                [&chosen](std::string_view bytes) {
                    return !chosen && bytes.find("\"deleted\":true") != bytes.npos;
                },
                850ms,
                [&, root](const std::string &what) {
                    chosen = root;
                    record.line(deployment.nameOf(root), " and the store: ", what);
                    troubleEnds = record.seconds();
                });
        }
        deployment.storeUp();
    }
    until(begin + 24);
    if (trouble && !chosen) {
        std::cout << "no answer was held back\n";
        return 2;
    }
    // Planned work: the other daemons of that zone stop and start again, one after the other.
    const std::size_t refusedBefore = log.refused;
    const std::vector<std::size_t> others = deployment.othersInZoneOf(chosen.value_or(0));
    for (std::size_t index = 0; index < others.size(); ++index) {
        deployment.restart(others[index]);
        until(begin + 36 + 12 * static_cast<double>(index));
    }
    until(begin + 60);
    // The limits of the rule: servers and daemons without impairment for stability_window_ms.
    std::size_t broken = 0;
    for (const SystemReset &reset : log.resets)
        broken += reset.at > troubleEnds + 4.0;
    record.line("asked ", log.asked, ", answered ", log.answered, ", no answer in time ",
                log.timedOut, ", flows not opened ", log.unopened, ", flows refused ", log.refused,
                " (", log.refused - refusedBefore, " since the planned work), wrong answers ",
                log.wrong);
    record.line("open flows reset by the system: ", log.resets.size(), ", of these ", broken,
                " more than 4 s after the last trouble");
    std::cout << (broken > 0 ? "FLOW broken " : "FLOW held ") << broken << "; asked " << log.asked
              << " answered " << log.answered << " timed out " << log.timedOut << " unopened "
              << log.unopened << " refused " << log.refused << '\n';
    return broken > 0 ? 1 : 0;
}
