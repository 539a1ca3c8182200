#pragma once

#include "core/time.h"

#include <map>
#include <set>
#include <string>
#include <utility>

namespace baobabtrail::test {

/// \brief Network partitions: which daemons reach each other and the platform.
class FakeCuts
{
public:
    using NodeIndex = std::size_t;

    void addNode(NodeIndex node, std::string domain) { m_domains[node] = std::move(domain); }

    void cutDomains(const std::string &a, const std::string &b, TimePoint now)
    {
        m_cuts.insert({a, b});
        m_changedAt = now;
    }
    void cutPlatform(const std::string &domain, TimePoint now)
    {
        cutDomains(domain, PlatformName, now);
    }
    void cutNode(NodeIndex node, TimePoint now)
    {
        m_cutNodes.insert(node);
        m_changedAt = now;
    }
    void healAll(TimePoint now)
    {
        m_cuts.clear();
        m_cutNodes.clear();
        m_changedAt = now;
    }

    [[nodiscard]] bool connected(NodeIndex a, NodeIndex b) const
    {
        if (m_cutNodes.contains(a) || m_cutNodes.contains(b))
            return false;
        return !isCut(m_domains.at(a), m_domains.at(b));
    }
    [[nodiscard]] bool reachesPlatform(NodeIndex node) const
    {
        return !m_cutNodes.contains(node) && !isCut(m_domains.at(node), PlatformName);
    }
    /// \return When a partition last began or ended.
    [[nodiscard]] TimePoint changedAt() const { return m_changedAt; }

private:
    static constexpr const char *PlatformName = "the platform";

    [[nodiscard]] bool isCut(const std::string &a, const std::string &b) const
    {
        return m_cuts.contains({a, b}) || m_cuts.contains({b, a});
    }

    std::map<NodeIndex, std::string> m_domains;
    std::set<std::pair<std::string, std::string>> m_cuts;
    std::set<NodeIndex> m_cutNodes;
    TimePoint m_changedAt{};
};

} // namespace baobabtrail::test
