#pragma once

#include "core/messages/request.h"
#include "wire/codec.h"
#include "wire/frames.pb.h"

namespace baobabtrail::wire::impl {

/// \param shared Token of an envelope around the frame, or null; the frame's own token is left out
/// where it is the same.
void write(const FlowMessage &in, const FlowToken *shared, pb::Frame &out);
void write(const RequestMessage &in, pb::Frame &out);
void write(const CallerMessage &in, pb::Frame &out);

/// \param in Payloads are moved out of it.
/// \param shared Token of an envelope around the frame, or null; stands in for one left out.
[[nodiscard]] Decoded<CallerMessage> read(pb::Frame &in, const FlowToken *shared = nullptr);

} // namespace baobabtrail::wire::impl
