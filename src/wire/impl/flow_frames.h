#pragma once

/// \file
/// \brief Conversion of flow messages from protobuf; false if a field is invalid.

#include "core/messages/flow.h"
#include "wire/frames.pb.h"

namespace baobabtrail::wire::impl {

[[nodiscard]] bool readBody(pb::OpenFlow &in, const FlowToken *shared, OpenFlow &out);
[[nodiscard]] bool readBody(pb::AcceptFlow &in, const FlowToken *shared, AcceptFlow &out);
[[nodiscard]] bool readBody(pb::RefuseFlow &in, const FlowToken *shared, RefuseFlow &out);
[[nodiscard]] bool readBody(pb::FlowData &in, const FlowToken *shared, FlowData &out);
[[nodiscard]] bool readBody(pb::KeepAlive &in, const FlowToken *shared, KeepAlive &out);
[[nodiscard]] bool readBody(pb::KeepAliveAck &in, const FlowToken *shared, KeepAliveAck &out);
[[nodiscard]] bool readBody(pb::CloseFlow &in, const FlowToken *shared, CloseFlow &out);
[[nodiscard]] bool readBody(pb::ResetFlow &in, const FlowToken *shared, ResetFlow &out);

} // namespace baobabtrail::wire::impl
