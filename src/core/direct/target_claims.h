#pragma once

#include "core/directory/directory.h"

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace baobabtrail {

/// \brief Readable registrations that don't own the target id that they name.
///
/// A target id has only the digits of a registration's key, so several keys may name one id. The
/// registration in use owns it; the others wait here and change nothing, also when they are
/// removed. Which one owns the id follows from the registrations alone and not from their order of
/// arrival, so that all daemons decide alike, also one that starts later.
class TargetClaims
{
public:
    using IsDeclared = std::function<bool(ServiceId)>;

    /// \param isDeclared Whether the routes in force declare a service.
    explicit TargetClaims(IsDeclared isDeclared)
        : m_isDeclared(std::move(isDeclared))
    {
    }

    /// \brief Adds or replaces a waiting registration.
    void put(RegisteredTarget target);
    /// \brief Removes the waiting registration of that name, if there is one.
    void erase(const std::string &name);
    [[nodiscard]] bool contains(const std::string &name) const { return m_ids.contains(name); }
    [[nodiscard]] std::size_t size() const noexcept { return m_ids.size(); }
    /// \return The ids for which registrations wait, each once.
    [[nodiscard]] std::vector<TargetId> ids() const;
    /// \return The waiting registration that ranks first for the id, or null.
    [[nodiscard]] const RegisteredTarget *best(TargetId id) const;

    /// \brief Tells how the names of the other registrations are written.
    /// \param names Of the registrations in use whose ids nobody else names.
    void setUndisputed(const std::vector<std::string_view> &names);
    /// \return Whether \a target owns the id that \a other names too: the one of a declared
    /// service, else the one whose name is written like more of the undisputed ones, else the one
    /// with the shorter name, else the alphabetically first one.
    [[nodiscard]] bool outranks(const RegisteredTarget &target,
                                const RegisteredTarget &other) const;
    /// \return Whether \a target names a service that isn't declared, in place of one that is.
    [[nodiscard]] bool losesService(const RegisteredTarget &target,
                                    const RegisteredTarget &before) const;

private:
    /// \return The number of undisputed names that are written in the same form.
    [[nodiscard]] std::size_t alike(std::string_view name) const;

    IsDeclared m_isDeclared;
    std::map<std::string, TargetId> m_ids;                                 ///< By name.
    std::map<TargetId, std::map<std::string, RegisteredTarget>> m_waiting; ///< By name; none empty.
    std::map<std::string, std::size_t> m_forms; ///< Undisputed names by their form, and how many.
};

} // namespace baobabtrail
