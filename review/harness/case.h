#pragma once

/// \file
/// \brief The cases. Each returns an exit status.

#include "deployment.h"

namespace review {

constexpr int Held = 0;
constexpr int Broken = 1;
constexpr int CannotRun = 2;

/// \param trouble Whether the disruption happens.
int staleAfterFreeze(const std::string &folder, bool trouble);
int lateOpening(const std::string &folder, bool trouble);
int lateRetry(const std::string &folder, bool trouble);

/// \brief Opens a flow with one request each \a period between two times after the start, at one
/// consumer after the other.
void askEvery(Deployment &deployment, Clock::duration period, Clock::duration from,
              Clock::duration until, const std::string &route);
/// \brief Records how many requests were sent, answered and wrongly answered.
void tellRequests(Deployment &deployment);
/// \return The request with this id; null for none.
const Request *requestOf(const Deployment &deployment, const std::string &id);
/// \return When the flow's first SYN was sent.
Time synTimeOf(const Deployment &deployment, const std::string &id);

} // namespace review
