#pragma once

#include "ctl/admin_client.h"
#include "language/backend.h"

#include <functional>
#include <iosfwd>
#include <optional>
#include <string>

namespace baobabtrail::ctl {

/// \brief How statements are sent and shown.
struct SessionOptions
{
    bool json = false;
    bool dryRun = false;
    bool keepGoing = false; ///< A script goes on after a statement that failed.
    std::string changeId;   ///< Empty: one is drawn for each change. In a script, the number of
                            ///< the line follows it.
    std::optional<std::uint64_t> expected;
};

/// \brief Runs statements one after the other and shows their results.
class Session
{
public:
    using Execute = std::function<std::optional<Reply>(const Call &)>;

    /// \param execute Sends one statement. \param newChangeId Draws a change id.
    Session(SessionOptions options, Execute execute, std::function<std::string()> newChangeId,
            std::ostream &out, std::ostream &errors);

    /// \return Status of the statement.
    [[nodiscard]] language::Status run(const std::string &statement);

    /// \brief Runs each line of a script; blank lines and lines that begin with # are passed over.
    /// \return The first status other than Done.
    [[nodiscard]] language::Status runScript(std::istream &script, bool prompt);

private:
    [[nodiscard]] language::Status send(const Call &call);
    [[nodiscard]] Call callFor(const std::string &statement) const;
    [[nodiscard]] language::Status show(const Call &call, const Reply &reply);

    SessionOptions m_options;
    Execute m_execute;
    std::function<std::string()> m_newChangeId;
    std::ostream &m_out;
    std::ostream &m_errors;
};

} // namespace baobabtrail::ctl
