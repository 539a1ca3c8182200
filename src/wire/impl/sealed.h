#pragma once

#include "core/keys.h"
#include "wire/codec.h"
#include "wire/frames.pb.h"

namespace baobabtrail::wire::impl {

/// \return The frame in its envelope, with the MAC of the current epoch.
[[nodiscard]] std::string seal(const pb::DaemonFrame &frame, const KeyRing &keys);

/// \brief Checks the MAC before anything inside is parsed.
/// \param limit Largest size that is taken. \param out The frame where the result is empty.
[[nodiscard]] std::optional<DecodeError> unseal(std::string_view bytes, std::size_t limit,
                                                const KeyRing &keys, pb::DaemonFrame &out);

void write(const MemberUpdate &in, pb::MemberUpdate &out);
[[nodiscard]] bool read(pb::MemberUpdate &in, MemberUpdate &out);

} // namespace baobabtrail::wire::impl
