#include "daemon/records/records_client.h"

#include "daemon/records/records_http.h"

#include <boost/asio/post.hpp>

#include <utility>

namespace baobabtrail::daemon {

RecordsClient::RecordsClient(boost::asio::io_context &context, Duration timeout)
    : m_context(context)
    , m_timeout(timeout)
    , m_http(context)
{
}

RecordsClient::~RecordsClient()
{
    for (auto &[number, done] : m_open)
        boost::asio::post(m_context, [done = std::move(done)] { done(std::nullopt); });
}

void RecordsClient::fetch(const Endpoint &peer, const std::string &request, Handler done)
{
    const FetchNumber number = m_nextFetch++;
    m_open.emplace(number, std::move(done));
    m_http.call(recordsCall(peer, request, m_timeout), [this, number](HttpResult result) {
        const auto fetch = m_open.extract(number);
        fetch.mapped()(recordsAnswer(std::move(result)));
    });
}

} // namespace baobabtrail::daemon
