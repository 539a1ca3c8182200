#pragma once

#include "core/time.h"

#include <boost/json.hpp>

#include <deque>
#include <map>
#include <string>
#include <utility>

namespace baobabtrail::standins {

/// \brief The list of VMs, with its history so that reads can lag behind writes.
class VmRegistry
{
public:
    /// \param vm An object with domain, address, records and optionally leaving (default false).
    void put(std::uint64_t daemon, boost::json::object vm, TimePoint now)
    {
        vm["daemon"] = daemon;
        if (!vm.contains("leaving"))
            vm["leaving"] = false;
        m_vms[daemon] = std::move(vm);
        recordHistory(now);
    }

    void erase(std::uint64_t daemon, TimePoint now)
    {
        m_vms.erase(daemon);
        recordHistory(now);
    }

    /// \return {"vms": [...]} as of \a now minus \a lag.
    [[nodiscard]] boost::json::value list(TimePoint now, Duration lag)
    {
        while (m_history.size() > 1 && m_history[1].first <= now - lag)
            m_history.pop_front();
        if (m_history.empty() || m_history.front().first > now - lag)
            return boost::json::object{{"vms", boost::json::array{}}};
        return m_history.front().second;
    }

private:
    void recordHistory(TimePoint now)
    {
        boost::json::array vms;
        for (const auto &[daemon, vm] : m_vms)
            vms.push_back(vm);
        m_history.emplace_back(now, boost::json::object{{"vms", std::move(vms)}});
    }

    std::map<std::uint64_t, boost::json::object> m_vms;
    std::deque<std::pair<TimePoint, boost::json::value>> m_history;
};

} // namespace baobabtrail::standins
