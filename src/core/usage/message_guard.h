#pragma once

#include "core/endpoint.h"
#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace baobabtrail {

/// \brief Refuses messages that are old or repeated, by each sender's incarnation and sequence.
class MessageGuard
{
public:
    /// \return Whether the message is newer than all before it from this sender.
    [[nodiscard]] bool admit(const Endpoint &from, std::uint64_t incarnation,
                             std::uint64_t sequence, TimePoint now);

private:
    struct Sender
    {
        std::uint64_t incarnation = 0;
        /// The one before it: a message of it that comes late must not begin the sequence anew.
        std::uint64_t previous = 0;
        std::uint64_t sequence = 0;
        TimePoint heardAt{};
    };

    [[nodiscard]] bool makeRoom(TimePoint now);

    std::map<Endpoint, Sender> m_senders;
};

} // namespace baobabtrail
