#pragma once

#include "core/limits/admission_queue.h"

#include <boost/unordered/unordered_flat_map.hpp>

#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace baobabtrail::impl {

/// \brief The entries of an AdmissionQueue: by class, then workspace, then arrival.
///
/// Workspaces take turns by virtual time: each start moves a workspace's on by the inverse of its
/// weight, and the workspace that is furthest behind starts next.
class QueueLanes
{
public:
    void setWeight(const std::string &workspace, std::uint32_t weight);

    void add(const QueueEntry &entry);
    /// \return Whether it was there.
    bool setReady(const RequestId &request);
    bool remove(const RequestId &request);
    [[nodiscard]] std::optional<QueueEntry> takeNext();
    void takeExpired(TimePoint now, std::vector<QueueEntry> &expired);
    [[nodiscard]] std::optional<QueueEntry> evictNewestOfLowerClass(RequestClass than);
    /// \brief Takes the newest entry of the arrival's class from the workspace that holds most for
    /// its weight, where that is more than the arrival's workspace would hold.
    [[nodiscard]] std::optional<QueueEntry>
    evictNewestOfHeaviestWorkspace(const QueueEntry &arrival);

    [[nodiscard]] std::size_t size() const noexcept { return m_byRequest.size(); }
    /// \return Entries that start before \a arrival would.
    [[nodiscard]] std::size_t ahead(const QueueEntry &arrival) const noexcept;
    /// \return Whether others wait too and the workspace holds at least its share of the places.
    [[nodiscard]] bool aboveShare(const std::string &workspace, std::size_t capacity) const;

private:
    using Sequence = std::uint64_t;
    using Entries = std::map<Sequence, QueueEntry>;

    struct Workspace
    {
        double weight = 100;
        double virtualTime = 0;
        std::size_t held = 0;
        std::array<Entries, RequestClassCount> ready;
        std::array<Entries, RequestClassCount> reserved;
    };
    struct Place
    {
        Workspace *workspace = nullptr;
        std::size_t lane = 0;
        Sequence sequence = 0;
        bool ready = false;
    };

    [[nodiscard]] Workspace &workspaceOf(const std::string &name);
    [[nodiscard]] QueueEntry take(const RequestId &request);
    [[nodiscard]] std::optional<QueueEntry> takeNewest(std::size_t lane, Workspace *only);
    [[nodiscard]] double shareOf(const Workspace &workspace, std::size_t capacity) const noexcept;
    [[nodiscard]] static Entries &entriesOf(const Place &place) noexcept;

    std::map<std::string, Workspace> m_workspaces;
    boost::unordered_flat_map<RequestId, Place> m_byRequest;
    std::set<std::pair<TimePoint, RequestId>> m_byDeadline;
    std::array<std::size_t, RequestClassCount> m_perClass{};
    Sequence m_next = 0;
    double m_virtualTime = 0; ///< Of the workspace that started last.
};

} // namespace baobabtrail::impl
