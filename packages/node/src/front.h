#pragma once

#include "answer.h"
#include "context.h"

#include <endivespan/access.h>
#include <endivespan/http_server.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

/// HTTP front end for callers and operators: authentication, path routing and the refusals common to all paths.
namespace endivespan {

/// Serves one path for authenticated callers.
using CallerHandler = std::function<void(const std::shared_ptr<HttpExchange> &, const Caller &)>;

/// Serves one path for operators.
using OperatorHandler = std::function<void(const std::shared_ptr<HttpExchange> &)>;

/// HTTP server for callers and operators on one port.
class Front
{
public:
    explicit Front(NodeContext &context);

    /// Adds a path prefix for callers, who need an API key. An empty @p method accepts any method.
    void addCallerPath(const std::string &method, const std::string &prefix, CallerHandler handler);

    /// Adds a path prefix for operators.
    void addOperatorPath(const std::string &prefix, OperatorHandler handler);

    /// Starts to listen on the address from the settings.
    Result<void> listen();

    /// Refuses all further requests of callers with HostStopping.
    void refuseNew();

    /// Stops accepting connections.
    void stopAccepting();

    [[nodiscard]] int port() const;
    [[nodiscard]] std::size_t openExchanges() const;
    [[nodiscard]] bool isRefusing() const;

    /// Writes what the requests of callers hold to the metrics.
    void report(Metrics &metrics) const;

private:
    struct CallerPath {
        std::string method;
        std::string prefix;
        CallerHandler handler;
    };
    struct OperatorPath {
        std::string prefix;
        OperatorHandler handler;
    };

    void receive(const std::shared_ptr<HttpExchange> &exchange);
    void receiveCaller(const std::shared_ptr<HttpExchange> &exchange, const CallerPath &path);
    void refuse(HttpExchange &exchange, const Error &error, const std::string &requestId);
    [[nodiscard]] Result<Caller> authenticate(const HttpRequest &request);

    NodeContext &context;
    AccessIndex access;
    std::vector<CallerPath> callerPaths;
    std::vector<OperatorPath> operatorPaths;
    std::unique_ptr<HttpServer> server;
    bool refusing = false;
};

} // namespace endivespan
