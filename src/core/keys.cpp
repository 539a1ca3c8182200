#include "core/keys.h"

#include <sodium.h>

#include <cstring>
#include <stdexcept>

namespace baobabtrail {

namespace {

constexpr std::size_t MinSecretBytes = 32;
constexpr std::size_t KeysPerEpoch = 3;
constexpr char KdfContext[crypto_kdf_CONTEXTBYTES + 1] = "baobabtr";

/// \brief Serializes the fields of a token in a fixed layout as input of the MAC.
class MacInput
{
public:
    template <typename Number>
    MacInput &add(Number number) noexcept
    {
        static_assert(std::is_integral_v<Number>);
        std::memcpy(m_bytes.data() + m_size, &number, sizeof number);
        m_size += sizeof number;
        return *this;
    }

    [[nodiscard]] Mac mac(const std::array<unsigned char, 16> &key) const noexcept
    {
        Mac result;
        crypto_shorthash_siphashx24(reinterpret_cast<unsigned char *>(result.data()),
                                    m_bytes.data(), m_size, key.data());
        return result;
    }

private:
    std::array<unsigned char, 96> m_bytes{};
    std::size_t m_size = 0;
};

[[nodiscard]] MacInput flowInput(FlowId flow, const FlowToken &token) noexcept
{
    MacInput input;
    input.add(flow.value())
        .add(token.service.value())
        .add(token.target.value())
        .add(token.generation.value())
        .add(token.address.address)
        .add(token.address.port)
        .add(token.revision.value())
        .add(token.epoch.value());
    return input;
}

[[nodiscard]] MacInput reservationInput(const RequestId &request,
                                        const ReservationToken &token) noexcept
{
    MacInput input;
    input.add(request.high)
        .add(request.low)
        .add(token.owner.value())
        .add(token.incarnation.value())
        .add(token.service.value())
        .add(token.ownerAddress.address)
        .add(token.ownerAddress.port)
        .add(token.deadline.time_since_epoch().count())
        .add(token.epoch.value());
    return input;
}

[[nodiscard]] bool equalMacs(const Mac &a, const Mac &b) noexcept
{
    return sodium_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace

KeyRing::KeyRing(std::span<const std::byte> secret, KeyEpoch current, std::uint32_t overlap)
    : m_overlap(overlap)
{
    if (sodium_init() < 0)
        throw std::runtime_error("libsodium can't be initialized");
    if (secret.size() < MinSecretBytes)
        throw std::invalid_argument("the cluster secret needs at least 32 bytes");
    crypto_generichash(m_master.data(), m_master.size(),
                       reinterpret_cast<const unsigned char *>(secret.data()), secret.size(),
                       nullptr, 0);
    rotate(current);
}

void KeyRing::rotate(KeyEpoch current)
{
    m_current = current;
    m_accepted.clear();
    m_accepted.push_back(derive(current));
    for (std::uint32_t step = 1; step <= m_overlap; ++step) {
        m_accepted.push_back(derive(KeyEpoch{current.value() + step}));
        if (current.value() < step)
            continue;
        m_accepted.push_back(derive(KeyEpoch{current.value() - step}));
    }
}

FlowToken KeyRing::sealFlow(FlowId flow, FlowToken token) const
{
    token.epoch = m_current;
    token.mac = flowInput(flow, token).mac(m_accepted.front().flow);
    return token;
}

TokenError KeyRing::checkFlow(FlowId flow, const FlowToken &token) const noexcept
{
    const EpochKeys *keys = find(token.epoch);
    if (!keys)
        return TokenError::UnknownEpoch;
    const bool matches = equalMacs(flowInput(flow, token).mac(keys->flow), token.mac);
    return matches ? TokenError::None : TokenError::BadMac;
}

ReservationToken KeyRing::sealReservation(const RequestId &request, ReservationToken token) const
{
    token.epoch = m_current;
    token.mac = reservationInput(request, token).mac(m_accepted.front().reservation);
    return token;
}

TokenError KeyRing::checkReservation(const RequestId &request,
                                     const ReservationToken &token) const noexcept
{
    const EpochKeys *keys = find(token.epoch);
    if (!keys)
        return TokenError::UnknownEpoch;
    const bool matches
        = equalMacs(reservationInput(request, token).mac(keys->reservation), token.mac);
    return matches ? TokenError::None : TokenError::BadMac;
}

Mac KeyRing::sealPeer(std::string_view bytes) const noexcept
{
    Mac result;
    crypto_shorthash_siphashx24(reinterpret_cast<unsigned char *>(result.data()),
                                reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(),
                                m_accepted.front().peer.data());
    return result;
}

TokenError KeyRing::checkPeer(KeyEpoch epoch, std::string_view bytes, const Mac &mac) const noexcept
{
    const EpochKeys *keys = find(epoch);
    if (!keys)
        return TokenError::UnknownEpoch;
    Mac expected;
    crypto_shorthash_siphashx24(reinterpret_cast<unsigned char *>(expected.data()),
                                reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(),
                                keys->peer.data());
    return equalMacs(expected, mac) ? TokenError::None : TokenError::BadMac;
}

KeyRing::EpochKeys KeyRing::derive(KeyEpoch epoch) const
{
    EpochKeys keys{epoch, {}, {}, {}};
    const std::uint64_t first = std::uint64_t{epoch.value()} * KeysPerEpoch;
    crypto_kdf_derive_from_key(keys.flow.data(), keys.flow.size(), first, KdfContext,
                               m_master.data());
    crypto_kdf_derive_from_key(keys.reservation.data(), keys.reservation.size(), first + 1,
                               KdfContext, m_master.data());
    crypto_kdf_derive_from_key(keys.peer.data(), keys.peer.size(), first + 2, KdfContext,
                               m_master.data());
    return keys;
}

const KeyRing::EpochKeys *KeyRing::find(KeyEpoch epoch) const noexcept
{
    for (const EpochKeys &keys : m_accepted) {
        if (keys.epoch == epoch)
            return &keys;
    }
    return nullptr;
}

} // namespace baobabtrail
