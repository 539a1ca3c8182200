#pragma once

#include <boost/json.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace baobabtrail::standins {

/// \brief An object of the store with its metadata.
struct Object
{
    std::string name;
    std::uint64_t revision = 0; ///< Store revision of its last change.
    std::uint64_t created = 0;
    boost::json::array finalizers;
    bool deleting = false;
    boost::json::value spec;
    boost::json::value status;

    [[nodiscard]] boost::json::object json() const
    {
        return {{"meta",
                 {{"name", name},
                  {"revision", revision},
                  {"created", created},
                  {"finalizers", finalizers},
                  {"deleting", deleting}}},
                {"spec", spec},
                {"status", status}};
    }
};

/// \brief A change of one object, as reported to watches.
struct ObjectEvent
{
    std::string kind;
    Object object;
    bool deleted = false;
};

/// \brief An in-memory object store: objects by kind and name, one revision counter for the whole
/// store, and the change history that watches read.
class ObjectStore
{
public:
    [[nodiscard]] const Object *find(const std::string &kind, const std::string &name) const
    {
        const auto objects = m_kinds.find(kind);
        if (objects == m_kinds.end())
            return nullptr;
        const auto found = objects->second.find(name);
        return found == objects->second.end() ? nullptr : &found->second;
    }

    /// \brief Creates or replaces an object; a write without a change gets no revision or event.
    const Object &put(const std::string &kind, Object object)
    {
        Object &known = m_kinds[kind][object.name];
        if (known.revision != 0 && known.spec == object.spec && known.status == object.status
            && known.finalizers == object.finalizers && known.deleting == object.deleting)
            return known;
        object.created = known.revision == 0 ? ++m_revision : known.created;
        object.revision = known.revision == 0 ? m_revision : ++m_revision;
        known = std::move(object);
        m_history.push_back({kind, known, false});
        return known;
    }

    void erase(const std::string &kind, const std::string &name)
    {
        const Object *known = find(kind, name);
        if (!known)
            return;
        Object last = *known;
        last.revision = ++m_revision;
        m_kinds[kind].erase(name);
        m_history.push_back({kind, std::move(last), true});
    }

    /// \return Up to \a limit objects whose names follow \a after, ordered by name.
    [[nodiscard]] std::vector<Object> list(const std::string &kind, const std::string &after,
                                           std::size_t limit) const
    {
        std::vector<Object> out;
        const auto objects = m_kinds.find(kind);
        if (objects == m_kinds.end())
            return out;
        for (auto it = objects->second.upper_bound(after);
             it != objects->second.end() && out.size() < limit; ++it)
            out.push_back(it->second);
        return out;
    }

    /// \return Changes of a kind after a revision, or std::nullopt if the history was compacted
    /// past that revision.
    [[nodiscard]] std::optional<std::vector<ObjectEvent>> since(const std::string &kind,
                                                                std::uint64_t revision) const
    {
        if (revision < m_compactedRevision)
            return std::nullopt;
        std::vector<ObjectEvent> out;
        for (const ObjectEvent &event : m_history) {
            if (event.kind == kind && event.object.revision > revision)
                out.push_back(event);
        }
        return out;
    }

    /// \brief Drops the change history; watches from an earlier revision get 410.
    void compact()
    {
        m_history.clear();
        m_compactedRevision = m_revision;
    }

    [[nodiscard]] std::uint64_t revision() const noexcept { return m_revision; }

private:
    std::map<std::string, std::map<std::string, Object>> m_kinds;
    std::deque<ObjectEvent> m_history;
    std::uint64_t m_revision = 1;
    std::uint64_t m_compactedRevision = 0;
};

} // namespace baobabtrail::standins
