#include "daemon/net/links.h"

namespace baobabtrail::daemon {

Links::Links(boost::asio::io_context &context, const LinkSettings &settings, Counters &counters,
             Report report)
    : m_context(context)
    , m_settings(settings)
    , m_counters(counters)
    , m_report(std::move(report))
{
}

Links::~Links()
{
    for (const auto &[key, link] : m_links)
        link->close();
}

void Links::open(const OpenLink &action)
{
    const Key key{action.target, action.generation};
    close({action.target, action.generation});
    const auto link = std::make_shared<Link>(m_context, m_settings, callbacksFor(key));
    m_links[key] = link;
    link->connect(action.address);
}

void Links::close(const CloseLink &action)
{
    const auto found = m_links.find({action.target, action.generation});
    if (found == m_links.end())
        return;
    found->second->close();
    m_links.erase(found);
}

void Links::send(const SendOnLink &action)
{
    const auto found = m_links.find({action.target, action.generation});
    if (found == m_links.end())
        return;
    ++m_counters.linkMessagesOut;
    found->second->send(action.message);
}

LinkCallbacks Links::callbacksFor(const Key &key)
{
    const auto opened = std::make_shared<bool>(false);
    LinkCallbacks callbacks;
    callbacks.opened = [this, key, opened] {
        *opened = true;
        ++m_counters.linksOpened;
        m_report(LinkOpened{key.first, key.second});
    };
    callbacks.received = [this, key](LinkMessage message) {
        ++m_counters.linkMessagesIn;
        m_report(FromLink{key.first, key.second, std::move(message)});
    };
    callbacks.closed = [this, key, opened](const std::string &) { handleClosed(key, *opened); };
    return callbacks;
}

void Links::handleClosed(const Key &key, bool opened)
{
    ++(opened ? m_counters.linksBroken : m_counters.linksFailed);
    m_links.erase(key);
    m_report(LinkClosed{key.first, key.second});
}

} // namespace baobabtrail::daemon
