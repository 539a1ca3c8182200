#pragma once

#include "ctl/admin_client.h"
#include "language/backend.h"

#include <functional>
#include <iosfwd>
#include <optional>
#include <string>

namespace baobabtrail::ctl {

/// \brief Options for sending statements and printing their results.
struct SessionOptions
{
    bool json = false;
    bool dryRun = false;
    bool keepGoing = false; ///< Continue a script after a failed statement.
    std::string changeId; ///< If empty, each change gets a random id. In a script, the line number
                          ///< is appended.
    std::optional<std::uint64_t> expected;
};

/// \brief Sends statements one by one and prints their results.
class Session
{
public:
    using Execute = std::function<std::optional<Reply>(const Call &)>;

    /// \param execute Sends one statement.
    /// \param newChangeId Generates a change id.
    /// \param out Takes results of successful statements, and the prompt.
    /// \param errors Takes results of failed statements, and errors.
    Session(SessionOptions options, Execute execute, std::function<std::string()> newChangeId,
            std::ostream &out, std::ostream &errors);

    /// \return Status of the statement.
    [[nodiscard]] language::Status run(const std::string &statement);

    /// \brief Runs each line of a script as a statement; skips blank lines and lines that begin
    /// with #.
    /// \param prompt Interactive: prints a prompt, and continues after a failed statement.
    /// \return The first status other than Done, or Done.
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
