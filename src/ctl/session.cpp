#include "ctl/session.h"

#include "ctl/render.h"

#include <istream>
#include <ostream>
#include <stdexcept>

namespace baobabtrail::ctl {

using language::Status;

namespace {

constexpr unsigned HttpOk = 200;
constexpr unsigned HttpUnauthorized = 401;
constexpr const char *Prompt = "baobab> ";

[[nodiscard]] bool isStatement(const std::string &line)
{
    const auto first = line.find_first_not_of(" \t");
    return first != std::string::npos && line[first] != '#';
}

} // namespace

Session::Session(SessionOptions options, Execute execute, std::function<std::string()> newChangeId,
                 std::ostream &out, std::ostream &errors)
    : m_options(std::move(options))
    , m_execute(std::move(execute))
    , m_newChangeId(std::move(newChangeId))
    , m_out(out)
    , m_errors(errors)
{
}

Status Session::run(const std::string &statement)
{
    return send(callFor(statement));
}

Status Session::send(const Call &call)
{
    const std::optional<Reply> reply = m_execute(call);
    if (!reply) {
        m_errors << "no daemon answered; the change id was " << call.changeId << '\n';
        return Status::Unreachable;
    }
    return show(call, *reply);
}

Status Session::runScript(std::istream &script, bool prompt)
{
    Status first = Status::Done;
    std::string line;
    std::size_t number = 0;
    if (prompt)
        m_out << Prompt << std::flush;
    while (std::getline(script, line)) {
        ++number;
        if (isStatement(line)) {
            Call call = callFor(line);
            // With the same id, the second change would be reported as already accepted.
            if (!m_options.changeId.empty())
                call.changeId += '-' + std::to_string(number);
            const Status status = send(call);
            if (status != Status::Done && !prompt)
                m_errors << "line " << number << ": failed\n";
            if (first == Status::Done)
                first = status;
            if (status != Status::Done && !prompt && !m_options.keepGoing)
                return first;
        }
        if (prompt)
            m_out << Prompt << std::flush;
    }
    return first;
}

Call Session::callFor(const std::string &statement) const
{
    Call call;
    call.text = statement;
    call.changeId = m_options.changeId.empty() ? m_newChangeId() : m_options.changeId;
    call.expected = m_options.expected;
    call.dryRun = m_options.dryRun;
    return call;
}

Status Session::show(const Call &call, const Reply &reply)
{
    if (reply.httpStatus == HttpUnauthorized) {
        m_errors << "the key was not accepted\n";
        return Status::Refused;
    }
    if (reply.httpStatus != HttpOk) {
        m_errors << "the daemon answered with HTTP status " << reply.httpStatus << ": "
                 << reply.body << "; the change id was " << call.changeId << '\n';
        return Status::Unknown;
    }
    try {
        const language::Result result = readResult(reply.body);
        if (m_options.json)
            m_out << reply.body << '\n';
        else
            (result.status == Status::Done ? m_out : m_errors) << renderText(result);
        return result.status;
    } catch (const std::invalid_argument &error) {
        m_errors << error.what() << "; the change id was " << call.changeId << '\n';
        return Status::Unknown;
    }
}

} // namespace baobabtrail::ctl
