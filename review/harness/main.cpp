/// \file
/// \brief Runs one case. Usage: case NAME FOLDER, in the repository's root; with TROUBLE=0 in the
/// environment, without the disruption.

#include "case.h"

#include <cstdlib>
#include <cstring>
#include <iostream>
#include <map>

namespace review {

void askEvery(Deployment &deployment, Clock::duration period, Clock::duration from,
              Clock::duration until, const std::string &route)
{
    std::size_t turn = 0;
    for (Clock::duration time = from; time < until; time += period) {
        deployment.at(time, [&deployment, route, turn] {
            Consumer &consumer = *deployment.consumers[turn % deployment.consumers.size()];
            (void)consumer.ask(route, deployment.route(route), true);
        });
        ++turn;
    }
}

void tellRequests(Deployment &deployment)
{
    std::size_t sent = 0;
    std::size_t answered = 0;
    std::size_t wrong = 0;
    for (const auto &consumer : deployment.consumers) {
        for (const Request &request : consumer->requests()) {
            ++sent;
            answered += request.answeredAt.has_value();
            wrong += request.wrongAnswer;
        }
    }
    deployment.record.tell("requests: " + std::to_string(sent) + " sent, "
                           + std::to_string(answered) + " answered (" + std::to_string(wrong)
                           + " wrongly), " + std::to_string(deployment.serverLog.runs.size())
                           + " run");
}

const Request *requestOf(const Deployment &deployment, const std::string &id)
{
    for (const auto &consumer : deployment.consumers) {
        for (const Request &request : consumer->requests()) {
            if (request.id == id)
                return &request;
        }
    }
    return nullptr;
}

Time synTimeOf(const Deployment &deployment, const std::string &id)
{
    const Request *request = requestOf(deployment, id);
    for (const auto &consumer : deployment.consumers) {
        const auto found = consumer->flows().find(request->end.port);
        if (found != consumer->flows().end() && found->second.end == request->end)
            return found->second.synAt;
    }
    return {};
}

} // namespace review

int main(int count, char **arguments)
{
    using namespace review;
    static const std::map<std::string, int (*)(const std::string &, bool)> cases{
        {"stale-after-freeze", staleAfterFreeze},
        {"late-opening", lateOpening},
        {"late-retry", lateRetry}};
    const char *trouble = std::getenv("TROUBLE");
    const bool troubled = trouble == nullptr || std::strcmp(trouble, "0") != 0;
    try {
        if (count == 3 && cases.contains(arguments[1]))
            return cases.at(arguments[1])(arguments[2], troubled);
        std::cerr << "usage: case NAME FOLDER\n";
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
    }
    return CannotRun;
}
