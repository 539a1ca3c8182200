#include "language/impl/wait.h"

#include <algorithm>
#include <memory>

namespace baobabtrail::language::impl {

namespace {

constexpr Duration PollPeriod = 100ms;

/// \brief One wait in progress. Its pending handlers share ownership of it.
class WaitOperation : public std::enable_shared_from_this<WaitOperation>
{
public:
    WaitOperation(Backend backend, Wait wait, std::function<void(Result)> done)
        : m_backend(std::move(backend))
        , m_wait(std::move(wait))
        , m_done(std::move(done))
        , m_since(m_backend.unixSeconds())
    {
    }

    void poll()
    {
        m_backend.domainStatus(
            [self = shared_from_this()](const std::vector<DomainStatus> &domains) {
                self->evaluate(domains);
            });
    }

private:
    void evaluate(const std::vector<DomainStatus> &domains)
    {
        const std::optional<Revision> revision = subjectRevision();
        std::vector<std::string> missing;
        if (revision)
            missing = missingDaemons(*revision, domains);
        else
            missing.push_back("change " + std::get<std::string>(m_wait.subject)
                              + " is not known at this daemon");
        if (missing.empty()) {
            m_done(Result{Status::Done,
                          {"revision " + std::to_string(revision->value())
                           + " is in force on every live daemon"},
                          {},
                          {}});
            return;
        }
        if (waited() >= m_wait.timeout) {
            missing.insert(missing.begin(), "not in force everywhere within the time given:");
            m_done(Result{Status::Unknown, std::move(missing), {}, {}});
            return;
        }
        m_delays += PollPeriod;
        m_backend.after(PollPeriod, [self = shared_from_this()] { self->poll(); });
    }

    /// \return The longer of the wall-clock time and the sum of the poll delays. Querying an
    /// unreachable domain takes seconds, which the delays don't include; the wall clock may be set
    /// back.
    [[nodiscard]] Duration waited() const
    {
        const Duration byClock = std::chrono::seconds{m_backend.unixSeconds() - m_since};
        return std::max(m_delays, byClock);
    }

    [[nodiscard]] std::optional<Revision> subjectRevision() const
    {
        if (const auto *revision = std::get_if<Revision>(&m_wait.subject))
            return *revision;
        const std::string &id = std::get<std::string>(m_wait.subject);
        for (const ChangeRecord &record : m_backend.recentChanges()) {
            if (record.changeId == id)
                return record.revision;
        }
        return std::nullopt;
    }

    /// \return A message for each daemon or failure domain that is not known to have the revision.
    /// An unreachable daemon may still serve by an older revision, so it counts as missing until
    /// the membership declares it dead.
    [[nodiscard]] std::vector<std::string>
    missingDaemons(Revision revision, const std::vector<DomainStatus> &domains) const
    {
        std::vector<std::string> missing;
        if (!m_backend.listed())
            missing.emplace_back("the platform's list of VMs has not shown this daemon yet, so it "
                                 "may not know all others");
        for (const DomainStatus &domain : domains) {
            for (const MemberUpdate &member : domain.members) {
                if (member.state == MemberState::Dead || member.revision >= revision)
                    continue;
                missing.push_back("daemon " + std::to_string(member.daemon.value()) + " in "
                                  + domain.domain + " has revision "
                                  + std::to_string(member.revision.value()));
            }
        }
        // Held for the whole loop: the backend may replace its view at the next event.
        const ViewPtr view = m_backend.view();
        for (const auto &remote : view->remote) {
            if (remote.second.empty() || answered(remote.first, domains))
                continue;
            missing.push_back("failure domain " + remote.first + " did not answer");
        }
        return missing;
    }

    [[nodiscard]] static bool answered(const std::string &name,
                                       const std::vector<DomainStatus> &domains)
    {
        return std::any_of(domains.begin(), domains.end(),
                           [&](const DomainStatus &domain) { return domain.domain == name; });
    }

    Backend m_backend;
    Wait m_wait;
    std::function<void(Result)> m_done;
    std::int64_t m_since;
    Duration m_delays{0};
};

} // namespace

void waitUntilInForce(const Backend &backend, const Wait &wait,
                      const std::function<void(Result)> &done)
{
    std::make_shared<WaitOperation>(backend, wait, done)->poll();
}

} // namespace baobabtrail::language::impl
