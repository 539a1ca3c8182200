#include "language/impl/explain.h"
#include "language/impl/queries.h"
#include "language/impl/wait.h"
#include "language/parse.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace baobabtrail::language {

namespace {

/// \brief Visitor that runs one statement, with an overload for each kind.
class Executor
{
public:
    Executor(const Backend &backend, Request request, std::function<void(Result)> done)
        : m_backend(backend)
        , m_request(std::move(request))
        , m_done(std::move(done))
    {
    }

    void operator()(const Show &show) const
    {
        m_done(impl::showTable(m_backend, m_request.caller, show));
    }

    void operator()(const ShowRevision &) const
    {
        m_backend.domainStatus([done = m_done](const std::vector<DomainStatus> &domains) {
            done(impl::revisionTable(domains));
        });
    }

    void operator()(const ShowChange &show) const
    {
        m_backend.domainStatus([backend = m_backend, caller = m_request.caller, show,
                                done = m_done](const std::vector<DomainStatus> &domains) {
            done(impl::changeStatus(backend, caller, show.changeId, domains));
        });
    }

    void operator()(const ShowMetrics &) const
    {
        m_done(Result{Status::Done, {m_backend.metrics()}, {}, {}});
    }

    void operator()(const ExplainFlow &statement) const
    {
        m_done(impl::explain(m_backend, m_request.caller, statement));
    }

    void operator()(const ExplainRequest &statement) const
    {
        m_done(impl::explain(m_backend, m_request.caller, statement));
    }

    void operator()(const Help &) const
    {
        m_done(Result{Status::Done, {std::string(helpText())}, {}, {}});
    }

    void operator()(const Wait &wait) const { impl::waitUntilInForce(m_backend, wait, m_done); }

    void operator()(const Change &change) const
    {
        if (m_request.changeId.empty() && !m_request.dryRun) {
            m_done(Result{Status::Usage, {"a change needs a change id"}, {}, {}});
            return;
        }
        Propose proposal;
        proposal.draft.changeId = m_request.changeId;
        proposal.draft.author = m_request.caller.name;
        proposal.draft.workspace = m_request.caller.workspace;
        proposal.draft.unixSeconds = m_backend.unixSeconds();
        proposal.draft.commands = change.commands;
        proposal.expected = m_request.expected;
        proposal.dryRun = m_request.dryRun;
        m_backend.propose(std::move(proposal),
                          [done = m_done, id = m_request.changeId](const ProposalOutcome &outcome) {
                              done(impl::proposalResult(outcome, id));
                          });
    }

private:
    const Backend &m_backend;
    Request m_request;
    std::function<void(Result)> m_done;
};

} // namespace

void execute(const Backend &backend, Request request, std::function<void(Result)> done)
{
    const auto parsed = parse(request.text);
    if (const auto *error = std::get_if<SyntaxError>(&parsed)) {
        done(Result{Status::Usage, {toString(*error)}, {}, {}});
        return;
    }
    std::visit(Executor{backend, std::move(request), std::move(done)}, std::get<Statement>(parsed));
}

std::string toJson(const Result &result)
{
    boost::json::array messages;
    for (const std::string &message : result.messages)
        messages.emplace_back(message);
    boost::json::array columns;
    for (const std::string &column : result.columns)
        columns.emplace_back(column);
    boost::json::array rows;
    for (const auto &row : result.rows) {
        boost::json::array cells;
        for (const std::string &cell : row)
            cells.emplace_back(cell);
        rows.emplace_back(std::move(cells));
    }
    boost::json::object object;
    object["status"] = static_cast<int>(result.status);
    object["messages"] = std::move(messages);
    object["columns"] = std::move(columns);
    object["rows"] = std::move(rows);
    return boost::json::serialize(object);
}

} // namespace baobabtrail::language
