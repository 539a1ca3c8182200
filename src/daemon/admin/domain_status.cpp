#include "daemon/admin/domain_status.h"

#include <algorithm>
#include <memory>

namespace baobabtrail::daemon {

namespace {

constexpr std::size_t MostTriesForDomain = 3;
// Each costs a connection; those beyond it are as last heard, and the next call asks again.
constexpr std::size_t MostOwnMembersAsked = 32;

/// \brief One collection that is under way.
class Collection : public std::enable_shared_from_this<Collection>
{
public:
    Collection(DomainStatus own, StatusFetch fetch,
               std::function<void(std::vector<DomainStatus>)> done)
        : m_fetch(std::move(fetch))
        , m_done(std::move(done))
    {
        m_results.push_back(std::move(own));
    }

    void run(const View &view)
    {
        ++m_open; // so that the last answer can't come before the last question
        askOwnMembers(view.self);
        for (const auto &[domain, members] : view.remote)
            askDomain(members, 0);
        finishOne();
    }

private:
    void askOwnMembers(DaemonId self)
    {
        const DomainStatus own = m_results.front();
        std::size_t asked = 0;
        for (const MemberUpdate &member : own.members) {
            const bool newest = member.revision >= own.revision;
            if (newest || member.daemon == self || member.state == MemberState::Dead)
                continue;
            if (++asked > MostOwnMembersAsked)
                break;
            ++m_open;
            m_fetch(member.records, [self = shared_from_this(), id = member.daemon](
                                        const std::optional<DomainStatus> &status) {
                if (status)
                    self->learn(id, status->revision);
                self->finishOne();
            });
        }
    }

    void askDomain(const std::vector<Member> &members, std::size_t tries)
    {
        if (tries >= std::min(members.size(), MostTriesForDomain))
            return;
        ++m_open;
        m_fetch(members[tries].records,
                [self = shared_from_this(), members, tries](std::optional<DomainStatus> status) {
                    if (status)
                        self->m_results.push_back(std::move(*status));
                    else
                        self->askDomain(members, tries + 1);
                    self->finishOne();
                });
    }

    void learn(DaemonId daemon, Revision revision)
    {
        for (MemberUpdate &member : m_results.front().members) {
            if (member.daemon == daemon)
                member.revision = std::max(member.revision, revision);
        }
    }

    void finishOne()
    {
        if (--m_open > 0)
            return;
        std::sort(m_results.begin(), m_results.end(),
                  [](const auto &a, const auto &b) { return a.domain < b.domain; });
        m_done(std::move(m_results));
    }

    StatusFetch m_fetch;
    std::function<void(std::vector<DomainStatus>)> m_done;
    std::vector<DomainStatus> m_results; // own first until the end
    std::size_t m_open = 0;
};

} // namespace

void collectDomainStatus(DomainStatus own, const View &view, StatusFetch fetch,
                         std::function<void(std::vector<DomainStatus>)> done)
{
    std::make_shared<Collection>(std::move(own), std::move(fetch), std::move(done))->run(view);
}

} // namespace baobabtrail::daemon
