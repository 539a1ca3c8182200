#include "daemon/admin/domain_status.h"

#include <algorithm>
#include <memory>

namespace baobabtrail::daemon {

namespace {

constexpr std::size_t MaxTriesPerDomain = 3;
// Each query costs a connection. Members beyond the limit are reported with their last known
// status, and the next call queries again.
constexpr std::size_t MaxLocalMembersQueried = 32;

/// \brief One collection in progress.
class StatusCollection : public std::enable_shared_from_this<StatusCollection>
{
public:
    StatusCollection(DomainStatus local, StatusFetch fetch,
                     std::function<void(std::vector<DomainStatus>)> done)
        : m_fetch(std::move(fetch))
        , m_done(std::move(done))
    {
        m_results.push_back(std::move(local));
    }

    void run(const View &view)
    {
        ++m_pending; // Keeps the collection from finishing before the last query is sent.
        queryLocalMembers(view.self);
        for (const auto &[domain, members] : view.remote)
            queryDomain(members, 0);
        finishOne();
    }

private:
    void queryLocalMembers(DaemonId self)
    {
        const DomainStatus local = m_results.front();
        std::size_t queried = 0;
        for (const MemberUpdate &member : local.members) {
            const bool newest = member.revision >= local.revision;
            if (newest || member.daemon == self || member.state == MemberState::Dead)
                continue;
            if (++queried > MaxLocalMembersQueried)
                break;
            ++m_pending;
            m_fetch(member.records, [self = shared_from_this(), id = member.daemon](
                                        const std::optional<DomainStatus> &status) {
                if (status)
                    self->updateRevision(id, status->revision);
                self->finishOne();
            });
        }
    }

    void queryDomain(const std::vector<Member> &members, std::size_t tries)
    {
        if (tries >= std::min(members.size(), MaxTriesPerDomain))
            return;
        ++m_pending;
        m_fetch(members[tries].records,
                [self = shared_from_this(), members, tries](std::optional<DomainStatus> status) {
                    if (status)
                        self->m_results.push_back(std::move(*status));
                    else
                        self->queryDomain(members, tries + 1);
                    self->finishOne();
                });
    }

    void updateRevision(DaemonId daemon, Revision revision)
    {
        for (MemberUpdate &member : m_results.front().members) {
            if (member.daemon == daemon)
                member.revision = std::max(member.revision, revision);
        }
    }

    void finishOne()
    {
        if (--m_pending > 0)
            return;
        std::sort(m_results.begin(), m_results.end(),
                  [](const auto &a, const auto &b) { return a.domain < b.domain; });
        m_done(std::move(m_results));
    }

    StatusFetch m_fetch;
    std::function<void(std::vector<DomainStatus>)> m_done;
    std::vector<DomainStatus> m_results; // Local domain first, until sorted at the end.
    std::size_t m_pending = 0;
};

} // namespace

void collectDomainStatus(DomainStatus local, const View &view, StatusFetch fetch,
                         std::function<void(std::vector<DomainStatus>)> done)
{
    std::make_shared<StatusCollection>(std::move(local), std::move(fetch), std::move(done))
        ->run(view);
}

} // namespace baobabtrail::daemon
