#pragma once

#include "core/tokens.h"

#include <span>
#include <string_view>
#include <vector>

namespace baobabtrail {

/// \brief The cluster's keys, derived from the cluster secret and the key epoch.
///
/// Every daemon derives the same keys locally, so one that is cut off from the platform and its
/// peers can still verify tokens. Adjacent epochs, within the overlap, are accepted too, so that
/// a rotation breaks no flow.
///
/// \code
/// KeyRing keys{secret, KeyEpoch{1}};
/// token = keys.sealFlow(flow, token);
/// if (keys.checkFlow(flow, token) != TokenError::None) { ... }
/// \endcode
class KeyRing
{
public:
    /// \param secret At least 32 bytes.
    /// \param current Epoch whose keys authenticate new tokens.
    /// \param overlap How many epochs before and after \a current are accepted.
    /// \throws std::invalid_argument if the secret is too short.
    KeyRing(std::span<const std::byte> secret, KeyEpoch current, std::uint32_t overlap = 1);

    [[nodiscard]] KeyEpoch currentEpoch() const noexcept { return m_current; }

    /// \brief Switches to another epoch; those within the overlap are accepted too.
    void rotate(KeyEpoch current);

    /// \return \a token with epoch and MAC filled in.
    [[nodiscard]] FlowToken sealFlow(FlowId flow, FlowToken token) const;
    [[nodiscard]] TokenError checkFlow(FlowId flow, const FlowToken &token) const noexcept;

    /// \return \a token with epoch and MAC filled in.
    [[nodiscard]] ReservationToken sealReservation(const RequestId &request,
                                                   ReservationToken token) const;
    [[nodiscard]] TokenError checkReservation(const RequestId &request,
                                              const ReservationToken &token) const noexcept;

    /// \return MAC of a message between daemons, computed with the current epoch's peer key.
    [[nodiscard]] Mac sealPeer(std::string_view bytes) const noexcept;
    [[nodiscard]] TokenError checkPeer(KeyEpoch epoch, std::string_view bytes,
                                       const Mac &mac) const noexcept;

private:
    using Key = std::array<unsigned char, 16>;
    struct EpochKeys
    {
        KeyEpoch epoch;
        Key flow;
        Key reservation;
        Key peer;
    };

    [[nodiscard]] EpochKeys derive(KeyEpoch epoch) const;
    [[nodiscard]] const EpochKeys *find(KeyEpoch epoch) const noexcept;

    std::array<unsigned char, 32> m_master{};
    KeyEpoch m_current;
    std::uint32_t m_overlap;
    std::vector<EpochKeys> m_accepted; // current first
};

} // namespace baobabtrail
