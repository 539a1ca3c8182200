#pragma once

#include "core/messages/request.h"
#include "wire/codec.h"
#include "wire/frames.pb.h"

namespace baobabtrail::wire::impl {

/// \param shared Token in the enclosing envelope, or null. The frame's token is omitted if it is
/// the same.
void write(const FlowMessage &in, const FlowToken *shared, pb::Frame &out);
void write(const RequestMessage &in, pb::Frame &out);
void write(const CallerMessage &in, pb::Frame &out);

/// \param in Payloads are moved out of it.
/// \param shared Token in the enclosing envelope, or null; used where the frame omits its token.
[[nodiscard]] Decoded<CallerMessage> read(pb::Frame &in, const FlowToken *shared = nullptr);

} // namespace baobabtrail::wire::impl
