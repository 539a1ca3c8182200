#pragma once

#include "core/keys.h"
#include "core/messages/flow.h"
#include "core/messages/peer.h"
#include "core/messages/records.h"
#include "core/messages/request.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// \file
/// \brief Encoding and decoding of all protobuf frames, and of the PROXY protocol header.
/// docs/PROTOCOL.md specifies the frames for callers and targets.

namespace baobabtrail::wire {

/// Largest datagram that is sent or accepted, in bytes.
inline constexpr std::size_t MaxDatagramBytes = 60000;
/// Bytes reserved for the envelope in which daemons forward a caller's frame to each other.
inline constexpr std::size_t MaxEnvelopeBytes = 512;
/// Largest frame that a caller may send, in bytes.
inline constexpr std::size_t MaxCallerBytes = MaxDatagramBytes - MaxEnvelopeBytes;
/// Largest message on a connection to a target, in bytes.
inline constexpr std::size_t MaxLinkMessageBytes = 1 << 20;
/// Smallest OpenFlow or Reserve that is accepted, in bytes. No reply to one is larger, so a forged
/// source address can't be used for traffic amplification.
inline constexpr std::size_t MinAskBytes = 200;

/// \brief Why decoding failed; counted by kind.
enum class DecodeError {
    TooLarge,
    TooSmall, ///< An OpenFlow or Reserve shorter than MinAskBytes.
    Malformed,
    UnknownKind,
    UnknownEpoch, ///< Between daemons: no key is known for the epoch.
    BadMac,       ///< Between daemons: the MAC doesn't match; forged or corrupted.
};

/// \brief A decoded message or the error.
template <typename Message>
using Decoded = std::variant<Message, DecodeError>;

[[nodiscard]] std::string encode(const CallerMessage &message);
[[nodiscard]] Decoded<CallerMessage> decodeCaller(std::string_view bytes);

[[nodiscard]] std::string encode(const TargetDatagram &datagram);
[[nodiscard]] Decoded<TargetDatagram> decodeTarget(std::string_view bytes);

[[nodiscard]] std::string encode(const PeerDatagram &datagram, const KeyRing &keys);
[[nodiscard]] Decoded<PeerDatagram> decodePeer(std::string_view bytes, const KeyRing &keys);

[[nodiscard]] std::string encode(const RecordsMessage &message, const KeyRing &keys);
[[nodiscard]] Decoded<RecordsMessage> decodeRecords(std::string_view bytes, const KeyRing &keys);

/// \return The message, prefixed with its length in bytes (32 bits, big-endian).
[[nodiscard]] std::string encodeLink(const LinkMessage &message);

/// \brief Splits the byte stream of a target connection into length-prefixed messages.
class LinkReader
{
public:
    /// \brief Buffers the bytes and decodes every message that is complete.
    /// \param bytes The bytes read. \param out Decoded messages are appended.
    /// \return Nothing, or the error for which the connection must be closed.
    [[nodiscard]] std::optional<DecodeError> feed(std::string_view bytes,
                                                  std::vector<LinkMessage> &out);

private:
    std::string m_buffer;
};

/// \brief A datagram forwarded by the fabric, whose PROXY protocol version 2 header carries the
/// caller's address.
struct ProxiedDatagram
{
    Endpoint source;
    std::string_view payload;
};

/// \return The PROXY protocol version 2 header of a UDP/IPv4 datagram from \a source.
[[nodiscard]] std::string proxyHeader(const Endpoint &source, const Endpoint &destination);
/// \return The datagram, or nothing if it has no valid header for UDP over IPv4.
[[nodiscard]] std::optional<ProxiedDatagram> parseProxied(std::string_view bytes);

} // namespace baobabtrail::wire
