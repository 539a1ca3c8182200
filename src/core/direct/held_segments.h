#pragma once

#include "core/direct/segment.h"

#include <boost/unordered/unordered_flat_map.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace baobabtrail {

/// \brief Buffers the segments of requests that wait for their saturated targets, by flow and in
/// order of arrival.
class HeldSegments
{
public:
    struct Held
    {
        Segment segment;
        std::string payload;
    };

    /// \param maxBytes Bound on the buffered payload of all flows together.
    explicit HeldSegments(std::size_t maxBytes) noexcept
        : m_maxBytes(maxBytes)
    {
    }

    /// \return Whether there was space; the segment is not buffered otherwise.
    bool push(const Segment &segment, std::string_view payload)
    {
        if (m_bytes + payload.size() > m_maxBytes)
            return false;
        m_bytes += payload.size();
        m_held[segment.flow].push_back({segment, std::string{payload}});
        return true;
    }

    /// \brief Removes and returns the flow's segments.
    [[nodiscard]] std::vector<Held> take(const FlowKey &flow)
    {
        const auto found = m_held.find(flow);
        if (found == m_held.end())
            return {};
        std::vector<Held> out = std::move(found->second);
        m_held.erase(found);
        for (const Held &held : out)
            m_bytes -= held.payload.size();
        return out;
    }

    [[nodiscard]] std::size_t bytes() const noexcept { return m_bytes; }

private:
    std::size_t m_maxBytes;
    std::size_t m_bytes = 0;
    boost::unordered_flat_map<FlowKey, std::vector<Held>> m_held;
};

} // namespace baobabtrail
