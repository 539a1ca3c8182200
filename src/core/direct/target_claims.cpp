#include "core/direct/target_claims.h"

#include <limits>
#include <tuple>
#include <utility>

namespace baobabtrail {

namespace {

/// \return The name with the same character for each of its hexadecimal digits, which make the id.
[[nodiscard]] std::string formOf(std::string_view name)
{
    std::string form{name};
    for (char &c : form) {
        const bool digit = (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
        c = digit ? '0' : c;
    }
    return form;
}

} // namespace

void TargetClaims::put(RegisteredTarget target)
{
    erase(target.name);
    m_ids[target.name] = target.id;
    std::string name = target.name;
    m_waiting[target.id].emplace(std::move(name), std::move(target));
}

void TargetClaims::erase(const std::string &name)
{
    const auto known = m_ids.find(name);
    if (known == m_ids.end())
        return;
    const auto waiting = m_waiting.find(known->second);
    waiting->second.erase(name);
    if (waiting->second.empty())
        m_waiting.erase(waiting);
    m_ids.erase(known);
}

std::vector<TargetId> TargetClaims::ids() const
{
    std::vector<TargetId> out;
    for (const auto &[id, waiting] : m_waiting)
        out.push_back(id);
    return out;
}

const RegisteredTarget *TargetClaims::best(TargetId id) const
{
    const auto waiting = m_waiting.find(id);
    if (waiting == m_waiting.end())
        return nullptr;
    const RegisteredTarget *first = nullptr;
    for (const auto &[name, target] : waiting->second) {
        if (!first || outranks(target, *first))
            first = &target;
    }
    return first;
}

bool TargetClaims::outranks(const RegisteredTarget &target, const RegisteredTarget &other) const
{
    const auto rank = [this](const RegisteredTarget &each) {
        return std::tuple{!m_isDeclared(each.service),
                          std::numeric_limits<std::size_t>::max() - alike(each.name),
                          each.name.size(), std::string_view{each.name}};
    };
    return rank(target) < rank(other);
}

void TargetClaims::setUndisputed(const std::vector<std::string_view> &names)
{
    m_forms.clear();
    for (const std::string_view name : names)
        ++m_forms[formOf(name)];
}

std::size_t TargetClaims::alike(std::string_view name) const
{
    const auto form = m_forms.find(formOf(name));
    return form == m_forms.end() ? 0 : form->second;
}

bool TargetClaims::losesService(const RegisteredTarget &target,
                                const RegisteredTarget &before) const
{
    return m_isDeclared(before.service) && !m_isDeclared(target.service);
}

} // namespace baobabtrail
