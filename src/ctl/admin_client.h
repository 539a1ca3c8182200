#pragma once

#include "core/endpoint.h"
#include "core/time.h"

#include <optional>
#include <string>
#include <vector>

namespace baobabtrail::ctl {

/// \brief Request to the administration API: one statement and its options.
struct Call
{
    std::string text;
    std::string changeId;
    std::optional<std::uint64_t> expected; ///< Refuse the change if the newest revision is another.
    bool dryRun = false;
};

/// \brief HTTP reply of a daemon: status code and JSON body.
struct Reply
{
    unsigned httpStatus = 0;
    std::string body;
};

/// \brief Client of the administration API that fails over between several daemons.
class AdminClient
{
public:
    /// \param daemons Addresses of administration APIs, tried in this order.
    /// \param key Access key of an operator or a workspace.
    /// \param timeout Bounds the exchange with each daemon.
    AdminClient(std::vector<Endpoint> daemons, std::string key, Duration timeout);

    /// \brief Sends a statement to each daemon in turn until one answers. Retrying at the next
    /// daemon after a lost reply is safe: the log accepts a change id at most once.
    /// \return The reply, or std::nullopt where no daemon answered.
    [[nodiscard]] std::optional<Reply> execute(const Call &call);

    /// \return Address and error of each daemon that failed during the last execute().
    [[nodiscard]] const std::vector<std::string> &failures() const noexcept { return m_failures; }

private:
    [[nodiscard]] Reply sendTo(const Endpoint &daemon, const std::string &body) const;

    std::vector<Endpoint> m_daemons;
    std::string m_key;
    Duration m_timeout;
    std::vector<std::string> m_failures;
};

} // namespace baobabtrail::ctl
