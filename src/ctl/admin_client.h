#pragma once

#include "core/endpoint.h"
#include "core/time.h"

#include <optional>
#include <string>
#include <vector>

namespace baobabtrail::ctl {

/// \brief What one statement is sent with.
struct Call
{
    std::string text;
    std::string changeId;
    std::optional<std::uint64_t> expected;
    bool dryRun = false;
};

/// \brief Reply of a daemon, as its status and JSON body.
struct Reply
{
    unsigned httpStatus = 0;
    std::string body;
};

/// \brief Sends statements to the administration API of one of several daemons.
class AdminClient
{
public:
    /// \param daemons Addresses of administration APIs, tried in their order.
    /// \param key Key of an operator or a workspace. \param timeout For one daemon.
    AdminClient(std::vector<Endpoint> daemons, std::string key, Duration timeout);

    /// \brief Asks the first daemon that answers. Asking the next one after a lost reply is
    /// harmless, since a change is in the log at most once by its id.
    /// \return The reply, or nothing where no daemon answered.
    [[nodiscard]] std::optional<Reply> execute(const Call &call);

    /// \return What the daemons that did not answer failed with.
    [[nodiscard]] const std::vector<std::string> &failures() const noexcept { return m_failures; }

private:
    [[nodiscard]] Reply sendTo(const Endpoint &daemon, const std::string &body) const;

    std::vector<Endpoint> m_daemons;
    std::string m_key;
    Duration m_timeout;
    std::vector<std::string> m_failures;
};

} // namespace baobabtrail::ctl
