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

/// \brief Callbacks through which the operators' language reads the state of a daemon and changes
/// the configuration. Functions that get a handler are asynchronous and call it once; all others
/// return at once.
struct Backend
{
    std::function<ConfigPtr()> config;
    std::function<ViewPtr()> view;
    /// Whether this daemon has appeared in the platform's list of VMs. Until then its view may lack
    /// other daemons, so "in force everywhere" can't be concluded from it.
    std::function<bool()> listed;
    std::function<std::vector<ChangeRecord>()> recentChanges;
    /// Status of the targets that this daemon owns.
    std::function<std::vector<TargetStatus>()> targetStatus;
    /// Proposes a change to the config log, or reports its effects on a dry run.
    std::function<void(Propose, std::function<void(ProposalOutcome)>)> propose;
    /// Queries one daemon of each failure domain. A domain that does not answer is left out.
    std::function<void(std::function<void(std::vector<DomainStatus>)>)> domainStatus;
    /// This daemon's metrics page, in Prometheus' text format.
    std::function<std::string()> metrics;
    /// Runs a function after a delay; "wait" polls with it.
    std::function<void(Duration, std::function<void()>)> after;
    /// Decodes a token from its wire format; std::nullopt where the bytes are malformed.
    std::function<std::optional<FlowToken>(const std::string &)> readFlowToken;
    std::function<std::optional<ReservationToken>(const std::string &)> readReservation;
    std::function<TokenError(FlowId, const FlowToken &)> checkFlowToken;
    std::function<TokenError(const RequestId &, const ReservationToken &)> checkReservation;
    /// Wall-clock time as seconds since 1970, as stored in change records.
    std::function<std::int64_t()> unixSeconds;
};

/// \brief Caller of the administration API, as authenticated by its access key.
struct Caller
{
    std::string name;
    std::string workspace; ///< Empty for an operator, who may access all workspaces.
};

/// \brief One request to the administration API.
struct Request
{
    std::string text;                 ///< One statement of the language.
    std::string changeId;             ///< Required for a change, unless it is a dry run.
    std::optional<Revision> expected; ///< Refuse the change if the newest revision is another one.
    bool dryRun = false;
    Caller caller;
};

/// \brief Exit status of baobabctl for a result.
enum class Status : int { Done = 0, Refused = 1, Usage = 2, Unknown = 3, Unreachable = 4 };

/// \brief Result of a statement: messages to read, and a table that programs can parse.
struct Result
{
    Status status = Status::Done;
    std::vector<std::string> messages;
    std::vector<std::string> columns;
    std::vector<std::vector<std::string>> rows;
};

/// \brief Parses and runs one statement.
/// \param backend Used until execute() returns; handlers that run later have a copy.
/// \param done Called once with the result, perhaps before execute() returns.
void execute(const Backend &backend, Request request, std::function<void(Result)> done);

/// \return The result as JSON: {"status": n, "messages": [...], "columns": [...], "rows": [[...]]}.
[[nodiscard]] std::string toJson(const Result &result);

} // namespace baobabtrail::language
