#pragma once

#include "core/directory/peer_view.h"

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace baobabtrail {

/// \brief Complete copies of all collections, for all daemons that ask for them at about the same
/// time.
///
/// Where many daemons start together, each of their sources answers several. The copies are read
/// and packed once for all of these, since both cost time and memory by the number of targets.
class WholeCopy
{
public:
    using Pack = std::function<std::string(const std::vector<CollectionAnswer> &)>;

    explicit WholeCopy(std::vector<CollectionAnswer> collections)
        : m_collections(std::move(collections))
    {
    }

    /// \return The copies; empty once they are packed.
    [[nodiscard]] const std::vector<CollectionAnswer> &collections() const noexcept
    {
        return m_collections;
    }
    /// \brief Packs the copies at the first call, and releases their objects.
    [[nodiscard]] const std::string &packed(const Pack &pack)
    {
        if (m_packed.empty()) {
            m_packed = pack(m_collections);
            m_collections = {};
        }
        return m_packed;
    }

private:
    std::vector<CollectionAnswer> m_collections;
    std::string m_packed;
};

} // namespace baobabtrail
