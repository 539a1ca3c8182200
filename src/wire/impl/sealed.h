#pragma once

#include "core/keys.h"
#include "wire/codec.h"
#include "wire/frames.pb.h"

namespace baobabtrail::wire::impl {

/// \return The serialized frame in an envelope with a MAC made with the key of the current epoch.
[[nodiscard]] std::string seal(const pb::DaemonFrame &frame, const KeyRing &keys);

/// \brief Opens an envelope; verifies the MAC before the content is parsed.
/// \param limit Largest accepted size in bytes. \param out The frame, if no error is returned.
[[nodiscard]] std::optional<DecodeError> unseal(std::string_view bytes, std::size_t limit,
                                                const KeyRing &keys, pb::DaemonFrame &out);

void write(const MemberUpdate &in, pb::MemberUpdate &out);
[[nodiscard]] bool read(pb::MemberUpdate &in, MemberUpdate &out);

} // namespace baobabtrail::wire::impl
