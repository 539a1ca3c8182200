#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace baobabtrail::standins {

struct Object
{
    std::string key;
    std::string value;
    std::uint64_t version = 0;
};

/// \brief Objects with versions that grow over the whole store.
class ObjectStore
{
public:
    /// \return The new version, or nothing where the key exists.
    std::optional<std::uint64_t> create(const std::string &key, std::string value)
    {
        if (m_objects.contains(key))
            return std::nullopt;
        return write(key, std::move(value));
    }

    /// \return The new version, or nothing where the object has another version than expected.
    std::optional<std::uint64_t> update(const std::string &key, std::string value,
                                        std::uint64_t expected)
    {
        const auto found = m_objects.find(key);
        if (found == m_objects.end() || found->second.version != expected)
            return std::nullopt;
        return write(key, std::move(value));
    }

    [[nodiscard]] const Object *find(const std::string &key) const
    {
        const auto found = m_objects.find(key);
        return found == m_objects.end() ? nullptr : &found->second;
    }

    /// \return Whether it was there.
    bool erase(const std::string &key)
    {
        const bool erased = m_objects.erase(key) > 0;
        m_latest += erased;
        return erased;
    }

    [[nodiscard]] std::vector<Object> list(const std::string &prefix, const std::string &after,
                                           std::size_t limit) const
    {
        std::vector<Object> out;
        const auto first
            = after < prefix ? m_objects.lower_bound(prefix) : m_objects.upper_bound(after);
        for (auto it = first; it != m_objects.end() && out.size() < limit; ++it) {
            if (!it->first.starts_with(prefix))
                break;
            out.push_back(it->second);
        }
        return out;
    }

    /// \return Objects below \a prefix that were written after \a version, by key.
    [[nodiscard]] std::vector<Object> newer(const std::string &prefix, std::uint64_t version) const
    {
        std::vector<Object> out;
        for (auto it = m_objects.lower_bound(prefix);
             it != m_objects.end() && it->first.starts_with(prefix); ++it) {
            if (it->second.version > version)
                out.push_back(it->second);
        }
        return out;
    }

    [[nodiscard]] std::uint64_t latest() const noexcept { return m_latest; }

private:
    std::uint64_t write(const std::string &key, std::string value)
    {
        ++m_latest;
        m_objects[key] = {key, std::move(value), m_latest};
        return m_latest;
    }

    std::map<std::string, Object> m_objects;
    std::uint64_t m_latest = 0;
};

} // namespace baobabtrail::standins
