#pragma once

/// \file
/// \brief Forward declarations of the core's main types.

namespace baobabtrail {

struct Endpoint;
struct FlowToken;
struct ReservationToken;
struct LoadReport;
struct ServiceConfig;
struct TargetConfig;
struct Config;
struct Member;
struct View;
class KeyRing;
class TrafficNode;
class ControlNode;

} // namespace baobabtrail
