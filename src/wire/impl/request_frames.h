#pragma once

/// \file
/// \brief Conversion of request messages from protobuf; false if a field is invalid.

#include "core/messages/request.h"
#include "wire/frames.pb.h"

namespace baobabtrail::wire::impl {

/// Upper limit of the parts of one answer, so that a malicious count can't make a caller allocate
/// excessive memory.
inline constexpr std::uint32_t MaxAnswerParts = 65536;

[[nodiscard]] bool readBody(pb::Reserve &in, const FlowToken *, Reserve &out);
[[nodiscard]] bool readBody(pb::Reserved &in, const FlowToken *, Reserved &out);
[[nodiscard]] bool readBody(pb::RequestData &in, const FlowToken *, RequestData &out);
[[nodiscard]] bool readBody(pb::Answer &in, const FlowToken *, Answer &out);
[[nodiscard]] bool readBody(pb::NotRun &in, const FlowToken *, NotRun &out);
[[nodiscard]] bool readBody(pb::OutcomeUnknown &in, const FlowToken *, OutcomeUnknown &out);
[[nodiscard]] bool readBody(pb::CancelRequest &in, const FlowToken *, CancelRequest &out);

} // namespace baobabtrail::wire::impl
