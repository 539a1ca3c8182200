#include "core/usage/message_guard.h"

namespace baobabtrail {

namespace {

/// Until a sender is forgotten: longer than the network delays any datagram.
constexpr Duration ForgetAfter = 1min;
/// A daemon hears its followers, its source and the other roots, and those that were so lately.
constexpr std::size_t MaxSenders = 512;

} // namespace

bool MessageGuard::admit(const Endpoint &from, std::uint64_t incarnation, std::uint64_t sequence,
                         TimePoint now)
{
    auto found = m_senders.find(from);
    if (found == m_senders.end()) {
        if (!makeRoom(now))
            return false;
        m_senders[from] = {incarnation, incarnation, sequence, now};
        return true;
    }
    Sender &sender = found->second;
    if (incarnation != sender.incarnation) {
        if (incarnation == sender.previous)
            return false;
        sender = {incarnation, sender.incarnation, sequence, now};
        return true;
    }
    if (sequence <= sender.sequence)
        return false;
    sender.sequence = sequence;
    sender.heardAt = now;
    return true;
}

bool MessageGuard::makeRoom(TimePoint now)
{
    if (m_senders.size() < MaxSenders)
        return true;
    std::erase_if(m_senders,
                  [now](const auto &each) { return now - each.second.heardAt > ForgetAfter; });
    return m_senders.size() < MaxSenders;
}

} // namespace baobabtrail
