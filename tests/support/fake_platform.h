#pragma once

#include "core/messages/platform.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace baobabtrail::test {

/// \brief Faults of calls to the platform.
enum class PlatformFault {
    None,
    Down,         ///< Has no effect; the caller sees a timeout.
    Slow,         ///< Takes seconds and succeeds.
    RateLimited,  ///< Refused at once, with a retry delay.
    ReplyLost,    ///< Takes effect, and the caller sees a timeout.
    WriteDelayed, ///< Takes effect seconds after the caller has seen a timeout.
    WatchSilent,  ///< A watch that no longer reports changes.
    WatchSkips,   ///< A watch that omits objects.
};

enum class CallKind { Create, Update, Read, List, Watch, Delete, ListVms };
inline constexpr std::size_t CallKindCount = 7;

[[nodiscard]] inline CallKind kindOf(const PlatformRequest &request)
{
    constexpr std::array<CallKind, CallKindCount> Kinds{
        CallKind::Create, CallKind::Update, CallKind::Read,   CallKind::List,
        CallKind::Watch,  CallKind::Delete, CallKind::ListVms};
    return Kinds.at(request.index());
}

/// \brief The platform's object store and VM list in memory, without a clock: the user decides when
/// a call takes effect and when its reply arrives.
class FakePlatform
{
public:
    std::map<std::string, StoredObject> objects;
    std::map<std::string, std::string> created; ///< First value of every key, also of deleted ones.
    std::vector<std::string> recreated; ///< Keys that were created again after their deletion.
    std::vector<VmEntry> vms;

    /// \return The result of a call. A watch is answered at once, without waiting for a change.
    [[nodiscard]] PlatformResult perform(const PlatformRequest &request)
    {
        return std::visit([this](const auto &typed) { return on(typed); }, request);
    }

    [[nodiscard]] ObjectVersion latest() const { return m_latest; }

    [[nodiscard]] ObjectList newerThan(const WatchObjects &watch) const
    {
        ObjectList list;
        list.latest = m_latest;
        for (const auto &[key, object] : objects) {
            if (key.starts_with(watch.prefix) && object.version > watch.after)
                list.objects.push_back(object);
        }
        return list;
    }

private:
    [[nodiscard]] PlatformResult on(const CreateObject &call)
    {
        if (objects.contains(call.key))
            return WriteConflict{};
        if (!created.emplace(call.key, call.value).second)
            recreated.push_back(call.key);
        return put(call.key, call.value);
    }
    [[nodiscard]] PlatformResult on(const UpdateObject &call)
    {
        const auto found = objects.find(call.key);
        if (found == objects.end() || found->second.version != call.expected)
            return WriteConflict{};
        return put(call.key, call.value);
    }
    [[nodiscard]] PlatformResult on(const ReadObject &call)
    {
        const auto found = objects.find(call.key);
        if (found == objects.end())
            return ObjectMissing{};
        return found->second;
    }
    [[nodiscard]] PlatformResult on(const ListObjects &call)
    {
        ObjectList list;
        list.latest = m_latest;
        for (auto at = objects.upper_bound(call.after); at != objects.end(); ++at) {
            if (!at->first.starts_with(call.prefix)) {
                if (at->first < call.prefix)
                    continue;
                break;
            }
            if (list.objects.size() >= call.limit)
                break;
            list.objects.push_back(at->second);
        }
        return list;
    }
    [[nodiscard]] PlatformResult on(const WatchObjects &call) { return newerThan(call); }
    [[nodiscard]] PlatformResult on(const DeleteObject &call)
    {
        if (objects.erase(call.key) == 0)
            return ObjectMissing{};
        m_latest = ObjectVersion{m_latest.value() + 1};
        return Written{m_latest};
    }
    [[nodiscard]] PlatformResult on(const ListVms &) { return VmList{vms}; }

    PlatformResult put(const std::string &key, const std::string &value)
    {
        m_latest = ObjectVersion{m_latest.value() + 1};
        objects[key] = {key, value, m_latest};
        return Written{m_latest};
    }

    ObjectVersion m_latest{1};
};

} // namespace baobabtrail::test
