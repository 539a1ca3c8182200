#pragma once

#include "core/traffic/actions.h"
#include "core/traffic/events.h"
#include "daemon/metrics/metrics.h"
#include "daemon/net/link.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <utility>

namespace baobabtrail::daemon {

/// \brief The connections to targets that a traffic node has opened.
class Links
{
public:
    /// Receives LinkOpened, LinkClosed and FromLink; never called from within a function of Links.
    using Report = std::function<void(TrafficEvent)>;

    Links(boost::asio::io_context &context, const LinkSettings &settings, Counters &counters,
          Report report);
    ~Links();
    Links(const Links &) = delete;
    Links &operator=(const Links &) = delete;

    void open(const OpenLink &action);
    void close(const CloseLink &action);
    /// \brief Sends a message on a connection; does nothing where it has closed and its LinkClosed
    /// hasn't reached the node yet.
    void send(const SendOnLink &action);

    [[nodiscard]] std::size_t size() const noexcept { return m_links.size(); }

private:
    using Key = std::pair<TargetId, Generation>;

    [[nodiscard]] LinkCallbacks callbacksFor(const Key &key);
    void handleClosed(const Key &key, bool opened);

    boost::asio::io_context &m_context;
    LinkSettings m_settings;
    Counters &m_counters;
    Report m_report;
    std::map<Key, std::shared_ptr<Link>> m_links;
};

} // namespace baobabtrail::daemon
