#pragma once

#include "core/notice.h"
#include "wire/codec.h"

#include <array>
#include <string_view>

/// \file
/// \brief Names of enumerators in metric labels, each list in the order of its enumeration.

namespace baobabtrail::daemon {

// Workspaces are called tenants in metrics.
inline constexpr std::array<std::string_view, 9> RefusalNames{
    "unknown_service", "no_target", "overload",  "tenant_limit", "table_full",
    "deadline_passed", "stopping",  "cancelled", "target_shed"};
inline constexpr std::array<std::string_view, 6> ResetNames{
    "bad_token", "target_cut", "target_gone", "silent", "unknown_flow", "wrong_service"};
inline constexpr std::array<std::string_view, 3> OutcomeNames{"answered", "not_run", "unknown"};
inline constexpr std::array<std::string_view, 5> FlowEventNames{"opened", "refused", "closed",
                                                                "reset", "reopened"};
inline constexpr std::array<std::string_view, 5> RejectNames{
    "bad_flow_token", "bad_reservation", "wrong_target", "stale_generation", "bad_peer"};
inline constexpr std::array<std::string_view, RequestClassCount> ClassNames{"urgent", "normal",
                                                                            "bulk"};
inline constexpr std::array<std::string_view, 6> DecodeErrorNames{
    "too_large", "too_small", "malformed", "unknown_kind", "unknown_epoch", "bad_mac"};
inline constexpr std::array<std::string_view, 8> FlowMessageNames{
    "open", "accept", "refuse", "data", "keep_alive", "keep_alive_ack", "close", "reset"};
inline constexpr std::array<std::string_view, 7> RequestMessageNames{
    "reserve", "reserved", "request", "answer", "not_run", "outcome_unknown", "cancel"};
inline constexpr std::array<std::string_view, 7> PeerMessageNames{
    "handoff",       "handoff_reply", "owner_request",  "ping",
    "indirect_ping", "ping_ack",      "revision_notice"};
inline constexpr std::array<std::string_view, 7> PlatformCallNames{
    "create", "update", "read", "list", "watch", "delete", "list_vms"};
inline constexpr std::array<std::string_view, 9> PlatformResultNames{
    "written", "conflict", "object",      "missing",     "objects",
    "vms",     "failure",  "historyGone", "watchTooLong"};

static_assert(FlowMessageNames.size() == std::variant_size_v<FlowMessage>);
static_assert(RequestMessageNames.size() == std::variant_size_v<RequestMessage>);
static_assert(PeerMessageNames.size() == std::variant_size_v<PeerMessage>);

} // namespace baobabtrail::daemon
