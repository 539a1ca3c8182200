/// \file
/// \brief How a daemon applies the registrations of targets.
///
/// A registration is identified by its whole key. The target id, under which packets are sent, has
/// only the digits of the key, so another writer's entry may name the id of a live target. Such an
/// entry must neither take that target out of use nor, when it is removed, end its open flows:
/// every step below asks which registration owns the id. \see TargetClaims

#include "core/direct/direct_node.h"

#include "core/directory/keys.h"

#include <utility>

namespace baobabtrail {

namespace {

[[nodiscard]] std::string nameOf(const std::string &key)
{
    return key.substr(TargetsPrefix.size());
}

[[nodiscard]] std::string keyOf(const RegisteredTarget &target)
{
    return std::string{TargetsPrefix} + target.name;
}

/// \return Whether nobody owns the id any more.
[[nodiscard]] bool hasLeft(const DirectTarget *owner) noexcept
{
    return !owner || owner->goneAt;
}

} // namespace

void DirectNode::applyTargets(const CollectionChange &change)
{
    const TimePoint now = m_callbacks.feed.now();
    for (const StoredObject &object : change.written) {
        auto read = m_callbacks.reader.target(object);
        if (auto *finding = std::get_if<DirectoryFinding>(&read)) {
            refuseTarget(object.key, std::move(*finding));
            continue;
        }
        auto &target = std::get<RegisteredTarget>(read);
        target.name = nameOf(object.key);
        claim(object.key, std::move(target), now);
    }
    for (const std::string &key : change.removed) {
        m_refused.erase(key);
        m_claims.erase(nameOf(key));
        if (const DirectTarget *target = ownedBy(key))
            m_router.removeTarget(target->entry.id, change.afterOutage, now);
    }
    settleClaims();
}

const DirectTarget *DirectNode::ownedBy(const std::string &key) const
{
    const auto id = m_callbacks.reader.targetId(key);
    const DirectTarget *target = id ? m_router.targets().find(*id) : nullptr;
    return target && target->entry.name == nameOf(key) ? target : nullptr;
}

void DirectNode::use(const RegisteredTarget &target, TimePoint now)
{
    m_refused.erase(keyOf(target));
    if (m_router.putTarget(target, now))
        m_evidence.forget(target.id);
}

void DirectNode::claim(const std::string &key, RegisteredTarget target, TimePoint now)
{
    m_claims.erase(target.name);
    const DirectTarget *owner = m_router.targets().find(target.id);
    const bool owns = owner && owner->entry.name == target.name;
    if (owns && !owner->goneAt && m_claims.losesService(target, owner->entry)) {
        // Of another writer: with its address, open flows of the live target would go elsewhere.
        m_claims.put(std::move(target));
        refuseTarget(key, {key + ": service", "names a service that isn't declared"}, true);
    } else if (owns || hasLeft(owner)) {
        use(target, now);
    } else {
        m_claims.put(std::move(target));
    }
}

// Registrations hardly ever wait, so that all of them are looked at.
void DirectNode::settleClaims()
{
    if (m_claims.size() == 0)
        return;
    m_claims.setUndisputed(undisputedNames());
    for (const TargetId id : m_claims.ids()) {
        const RegisteredTarget first = *m_claims.best(id);
        const DirectTarget *owner = m_router.targets().find(id);
        if (!takesOver(first, owner)) {
            if (owner->entry.name != first.name)
                refuse(keyOf(first),
                       {keyOf(first), "names the id of " + keyOf(owner->entry) + ", which owns it"},
                       false);
            continue;
        }
        m_claims.erase(first.name);
        if (!hasLeft(owner) && !owner->refused && owner->entry.name != first.name)
            m_claims.put(owner->entry);
        use(first, m_callbacks.feed.now());
    }
}

std::vector<std::string_view> DirectNode::undisputedNames() const
{
    std::vector<std::string_view> names;
    for (const auto &[id, target] : m_router.targets().all()) {
        if (!target.goneAt && !m_claims.best(id))
            names.push_back(target.entry.name);
    }
    return names;
}

// A lapsed owner may be alive and may register again, so that it keeps its id.
bool DirectNode::takesOver(const RegisteredTarget &target, const DirectTarget *owner) const
{
    if (hasLeft(owner))
        return true;
    if (owner->refused)
        return !m_claims.losesService(target, owner->entry);
    return !owner->lapsedAt && m_claims.outranks(target, owner->entry);
}

// An unreadable entry takes the target out of use that was registered under its key before, as its
// writer may have meant to remove that target. Open flows stay.
void DirectNode::refuseTarget(const std::string &key, DirectoryFinding finding, bool waits)
{
    if (!waits)
        m_claims.erase(nameOf(key));
    const DirectTarget *target = ownedBy(key);
    if (target)
        m_router.refuseTarget(target->entry.id);
    refuse(key, std::move(finding), target != nullptr);
}

} // namespace baobabtrail
