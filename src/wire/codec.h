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
/// \brief Frames on the wire; docs/PROTOCOL.md describes them for callers and targets.

namespace baobabtrail::wire {

/// Largest datagram that is sent or taken, in bytes.
inline constexpr std::size_t MaxDatagramBytes = 60000;
/// Room for what daemons put around a caller's frame when they pass it on.
inline constexpr std::size_t MaxEnvelopeBytes = 512;
/// Largest frame that a caller may send, in bytes.
inline constexpr std::size_t MaxCallerBytes = MaxDatagramBytes - MaxEnvelopeBytes;
/// Largest message on a connection to a target, in bytes.
inline constexpr std::size_t MaxLinkMessageBytes = 1 << 20;
/// Smallest OpenFlow or Reserve that is taken, in bytes: no reply to one is larger, so that a
/// forged return address gains nothing.
inline constexpr std::size_t MinAskBytes = 200;

/// \brief Why bytes were not taken; counted by kind.
enum class DecodeError {
    TooLarge,
    TooSmall, ///< An OpenFlow or Reserve shorter than MinAskBytes.
    Malformed,
    UnknownKind,
    UnknownEpoch, ///< Between daemons: the key is not known.
    BadMac,       ///< Between daemons: forged or damaged.
};

/// \brief A message, or why there is none.
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

/// \return The message behind its length, four bytes with the highest first.
[[nodiscard]] std::string encodeLink(const LinkMessage &message);

/// \brief Cuts the bytes of a connection into messages.
class LinkReader
{
public:
    /// \param bytes What was read. \param out Whole messages are added at its end.
    /// \return Nothing, or why the connection has to be closed.
    [[nodiscard]] std::optional<DecodeError> feed(std::string_view bytes,
                                                  std::vector<LinkMessage> &out);

private:
    std::string m_buffer;
};

/// \brief A datagram that the fabric passed on, with the caller's address in a PROXY protocol
/// version 2 header in front.
struct ProxiedDatagram
{
    Endpoint source;
    std::string_view payload;
};

/// \return The header for a UDP datagram over IPv4 that came from \a source.
[[nodiscard]] std::string proxyHeader(const Endpoint &source, const Endpoint &destination);
/// \return The datagram, or nothing where the header is not one of UDP over IPv4.
[[nodiscard]] std::optional<ProxiedDatagram> parseProxied(std::string_view bytes);

} // namespace baobabtrail::wire
