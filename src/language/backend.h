#pragma once

#include "core/config/change.h"
#include "core/config/config.h"
#include "core/control/actions.h"
#include "core/membership/view.h"
#include "core/messages/records.h"
#include "core/targets/target_status.h"
#include "core/tokens.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace baobabtrail::language {

/// \brief What a daemon offers to the operators' language. Every function but the ones with a
/// handler answers at once; handlers are called once, later.
struct Backend
{
    std::function<ConfigPtr()> config;
    std::function<ViewPtr()> view;
    /// Whether the platform's list of VMs has shown this daemon; before that, its view is no ground
    /// for saying "everywhere".
    std::function<bool()> listed;
    std::function<std::vector<ChangeRecord>()> recentChanges;
    /// Targets that this daemon owns.
    std::function<std::vector<TargetStatus>()> targetStatus;
    /// Puts a change to the log, or tells what it would do.
    std::function<void(Propose, std::function<void(ProposalOutcome)>)> propose;
    /// Asks one daemon of each failure domain; a domain that did not answer is left out.
    std::function<void(std::function<void(std::vector<DomainStatus>)>)> domainStatus;
    /// Text of the metrics page of this daemon.
    std::function<std::string()> metrics;
    /// Calls back after a delay; used by "wait".
    std::function<void(Duration, std::function<void()>)> after;
    /// Reads a token from its bytes on the wire; nothing where they are none.
    std::function<std::optional<FlowToken>(const std::string &)> readFlowToken;
    std::function<std::optional<ReservationToken>(const std::string &)> readReservation;
    std::function<TokenError(FlowId, const FlowToken &)> checkFlowToken;
    std::function<TokenError(const RequestId &, const ReservationToken &)> checkReservation;
    /// Seconds since 1970, for the times that records carry.
    std::function<std::int64_t()> unixSeconds;
};

/// \brief Who asks, as the administration API found out from the key.
struct Caller
{
    std::string name;
    std::string workspace; ///< Empty for an operator of the whole system.
};

/// \brief One request to the administration API.
struct Request
{
    std::string text; ///< One statement of the language.
    std::string changeId;
    std::optional<Revision> expected;
    bool dryRun = false;
    Caller caller;
};

/// \brief Exit status of baobabctl for a result.
enum class Status : int { Done = 0, Refused = 1, Usage = 2, Unknown = 3, Unreachable = 4 };

/// \brief Result of a statement: lines for people and a table for programs.
struct Result
{
    Status status = Status::Done;
    std::vector<std::string> messages;
    std::vector<std::string> columns;
    std::vector<std::vector<std::string>> rows;
};

/// \brief Runs one statement. \param done Called once, perhaps before execute() returns.
void execute(const Backend &backend, Request request, std::function<void(Result)> done);

/// \return The result as JSON: {"status": n, "messages": [...], "columns": [...], "rows": [[...]]}.
[[nodiscard]] std::string toJson(const Result &result);

} // namespace baobabtrail::language
