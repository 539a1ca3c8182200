#pragma once

#include "daemon/admin/http_server.h"
#include "daemon/metrics/metrics.h"
#include "language/backend.h"

#include <string>
#include <vector>

namespace baobabtrail::daemon {

/// \brief The administration API: routes HTTP requests by their path and authenticates callers.
///
/// | request | reply |
/// |---|---|
/// | POST /v1/execute, Bearer KEY | result of a statement, as JSON |
/// | GET /metrics | metrics in the Prometheus text format |
/// | GET /healthz | "ok" |
class AdminApi
{
public:
    /// \param operatorHashes Hashes of the operators' keys.
    AdminApi(language::Backend backend, std::vector<std::string> operatorHashes,
             Counters &counters);

    void handle(const HttpRequest &request, const HttpServer::Respond &respond);

private:
    void execute(const HttpRequest &request, const HttpServer::Respond &respond);

    language::Backend m_backend;
    std::vector<std::string> m_operatorHashes;
    Counters &m_counters;
};

} // namespace baobabtrail::daemon
