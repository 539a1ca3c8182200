#pragma once

/// \file
/// \brief Readers of request messages; each returns whether every field was valid.

#include "core/messages/request.h"
#include "wire/frames.pb.h"

namespace baobabtrail::wire::impl {

/// Most parts of one answer; a hostile count must not make a caller set aside memory.
inline constexpr std::uint32_t MaxAnswerParts = 65536;

[[nodiscard]] bool readBody(pb::Reserve &in, const FlowToken *, Reserve &out);
[[nodiscard]] bool readBody(pb::Reserved &in, const FlowToken *, Reserved &out);
[[nodiscard]] bool readBody(pb::RequestData &in, const FlowToken *, RequestData &out);
[[nodiscard]] bool readBody(pb::Answer &in, const FlowToken *, Answer &out);
[[nodiscard]] bool readBody(pb::NotRun &in, const FlowToken *, NotRun &out);
[[nodiscard]] bool readBody(pb::OutcomeUnknown &in, const FlowToken *, OutcomeUnknown &out);
[[nodiscard]] bool readBody(pb::CancelRequest &in, const FlowToken *, CancelRequest &out);

} // namespace baobabtrail::wire::impl
