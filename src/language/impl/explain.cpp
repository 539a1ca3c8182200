#include "language/impl/explain.h"

#include "core/config/apply.h"
#include "core/flows/target_cut.h"
#include "language/impl/tables.h"

#include <boost/algorithm/hex.hpp>

#include <iterator>

namespace baobabtrail::language::impl {

namespace {

/// \return The decoded bytes; empty where the text is not valid hexadecimal.
[[nodiscard]] std::string decodeHex(const std::string &hexadecimal)
{
    std::string bytes;
    try {
        boost::algorithm::unhex(hexadecimal, std::back_inserter(bytes));
    } catch (const boost::algorithm::hex_decode_error &) {
        return {};
    }
    return bytes;
}

[[nodiscard]] std::string describe(TokenError error, KeyEpoch epoch)
{
    switch (error) {
    case TokenError::None:
        return "the token is genuine, by key epoch " + std::to_string(epoch.value());
    case TokenError::UnknownEpoch:
        return "the token is refused: key epoch " + std::to_string(epoch.value())
               + " is not accepted here";
    case TokenError::BadMac:
        return "the token is refused: it is forged, damaged, or for another id";
    }
    return {};
}

[[nodiscard]] Result refused(std::string why)
{
    return Result{Status::Refused, {std::move(why)}, {}, {}};
}

/// A token must not be explained to another workspace: that would disclose the names and addresses
/// of the owner's targets.
[[nodiscard]] bool mayExplain(const Caller &caller, const ServiceConfig *service)
{
    return caller.workspace.empty() || (service && service->workspace == caller.workspace);
}

[[nodiscard]] std::string describeTarget(const Config &config, const FlowToken &token)
{
    const ServiceConfig *service = config.service(token.service);
    const TargetConfig *target = config.target(token.service, token.target);
    if (!service || !target)
        return "its target is not in the configuration of this daemon";
    return "its target is " + service->workspace + '/' + service->name + '/' + target->name + " in "
           + target->domain + ", " + std::string(baobabtrail::toString(target->state))
           + ", of generation " + std::to_string(target->generation.value());
}

} // namespace

Result explain(const Backend &backend, const Caller &caller, const ExplainFlow &statement)
{
    const auto token = backend.readFlowToken(decodeHex(statement.token));
    if (!token)
        return refused("these bytes are no flow token");
    const ConfigPtr config = backend.config();
    const TokenError error = backend.checkFlowToken(statement.flow, *token);
    if (error != TokenError::None)
        return refused(describe(error, token->epoch));
    // Messages call a workspace a tenant, as the operators' language does.
    if (!mayExplain(caller, config->service(token->service)))
        return refused("the flow belongs to no service of this tenant");

    Result result;
    result.messages.push_back(describe(error, token->epoch));
    result.messages.push_back("placed by revision " + std::to_string(token->revision.value())
                              + " on generation " + std::to_string(token->generation.value())
                              + "; this daemon is at revision "
                              + std::to_string(config->revision.value()));
    result.messages.push_back(describeTarget(*config, *token));
    result.messages.push_back(wasCut(*config, *token)
                                  ? "its datagrams are answered by a reset: the target was cut"
                                  : "its datagrams go to " + baobabtrail::toString(token->address));
    return result;
}

Result explain(const Backend &backend, const Caller &caller, const ExplainRequest &statement)
{
    const auto token = backend.readReservation(decodeHex(statement.token));
    if (!token)
        return refused("these bytes are no reservation");
    const TokenError error = backend.checkReservation(statement.request, *token);
    if (error != TokenError::None)
        return refused(describe(error, token->epoch));
    if (!mayExplain(caller, backend.config()->service(token->service)))
        return refused("the request belongs to no service of this tenant");

    Result result;
    result.messages.push_back(describe(error, token->epoch));
    result.messages.push_back("owned by daemon " + std::to_string(token->owner.value()) + " at "
                              + baobabtrail::toString(token->ownerAddress) + ", incarnation "
                              + std::to_string(token->incarnation.value()));
    const Member *owner = backend.view()->find(token->owner);
    if (!owner)
        result.messages.push_back("this daemon knows no such member of its failure domain");
    else if (owner->incarnation != token->incarnation)
        result.messages.push_back("the owner was restarted since: the outcome is unknown");
    else
        result.messages.push_back("the owner is " + toString(owner->state));
    return result;
}

} // namespace baobabtrail::language::impl
