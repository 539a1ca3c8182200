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

/// \brief The entries of an AdmissionQueue, ordered by class, then workspace, then arrival.
///
/// Weighted fair queueing by virtual time: each entry that starts advances its workspace's virtual
/// time by the inverse of the workspace's weight, and the workspace with the lowest virtual time
/// starts next.
class QueueLanes
{
public:
    void setWeight(const std::string &workspace, std::uint32_t weight);

    void add(const QueueEntry &entry);
    /// \return Whether the request was in the queue.
    bool setReady(const RequestId &request);
    bool remove(const RequestId &request);
    [[nodiscard]] std::optional<QueueEntry> takeNext();
    void takeExpired(TimePoint now, std::vector<QueueEntry> &expired);
    [[nodiscard]] std::optional<QueueEntry> evictNewestOfLowerClass(RequestClass than);
    /// \brief Evicts the newest entry of the arrival's class from the workspace with the most
    /// entries per weight, if that is more than the arrival's workspace would have.
    [[nodiscard]] std::optional<QueueEntry>
    evictNewestOfHeaviestWorkspace(const QueueEntry &arrival);

    [[nodiscard]] std::size_t size() const noexcept { return m_byRequest.size(); }
    /// \return Number of entries that would start before \a arrival.
    [[nodiscard]] std::size_t ahead(const QueueEntry &arrival) const noexcept;
    /// \return Whether other workspaces have entries too and one more entry of this workspace would
    /// exceed its share of the places.
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
    double m_virtualTime = 0; ///< Highest at which a workspace has started an entry.
};

} // namespace baobabtrail::impl
