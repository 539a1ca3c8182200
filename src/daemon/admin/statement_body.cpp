#include "daemon/admin/statement_body.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include <utility>

namespace baobabtrail::daemon {

std::variant<language::Request, std::string> readStatementBody(const std::string &body)
{
    boost::system::error_code error;
    const boost::json::value root = boost::json::parse(body, error);
    if (error || !root.is_object())
        return "the body is not a JSON object";

    const boost::json::object &object = root.get_object();
    const auto *text = object.if_contains("text");
    if (!text || !text->is_string())
        return "text: expected a string";

    language::Request request;
    request.text = std::string{std::string_view{text->get_string()}};
    if (const auto *changeId = object.if_contains("changeId"); changeId && !changeId->is_null()) {
        if (!changeId->is_string())
            return "changeId: expected a string";
        request.changeId = std::string{std::string_view{changeId->get_string()}};
    }
    if (const auto *expected = object.if_contains("expected"); expected && !expected->is_null()) {
        if (!expected->is_int64() || expected->get_int64() < 0)
            return "expected: expected a revision";
        request.expected = Revision{static_cast<std::uint64_t>(expected->get_int64())};
    }
    if (const auto *dryRun = object.if_contains("dryRun"); dryRun && !dryRun->is_null()) {
        if (!dryRun->is_bool())
            return "dryRun: expected true or false";
        request.dryRun = dryRun->get_bool();
    }
    return request;
}

HttpReply resultReply(unsigned httpStatus, const language::Result &result)
{
    return {httpStatus, "application/json", language::toJson(result)};
}

HttpReply usageReply(unsigned httpStatus, std::string finding)
{
    language::Result result;
    result.status = language::Status::Usage;
    result.messages.push_back(std::move(finding));
    return resultReply(httpStatus, result);
}

} // namespace baobabtrail::daemon
