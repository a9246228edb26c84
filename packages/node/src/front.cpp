#include "front.h"

#include <endivespan/log.h>

#include <utility>

namespace endivespan {

namespace {

constexpr std::string_view BearerPrefix = "Bearer ";

// A body that exceeds the limit by up to this much is still read to its end, so that the caller receives the refusal.
// On a larger body evhttp closes the connection while the caller is still sending, and the refusal may be lost.
constexpr std::size_t BodySlackBytes = 1024 * 1024;

} // namespace

Front::Front(NodeContext &context)
    : context(context)
{
}

void Front::addCallerPath(const std::string &method, const std::string &prefix, CallerHandler handler)
{
    this->callerPaths.push_back({method, prefix, std::move(handler)});
}

void Front::addOperatorPath(const std::string &prefix, OperatorHandler handler)
{
    this->operatorPaths.push_back({prefix, std::move(handler)});
}

Result<void> Front::listen()
{
    HttpServerLimits limits = defaultHttpServerLimits();
    limits.maxBodyBytes = this->context.settings.limits.maxBodyBytes + BodySlackBytes;
    auto listening = HttpServer::listen(this->context.loop,
                                        this->context.settings.listen.callers,
                                        limits,
                                        [this](const auto &exchange) { this->receive(exchange); });
    if (!listening) {
        return listening.error();
    }
    this->server = std::move(listening.value());
    return boost::outcome_v2::success();
}

void Front::refuseNew()
{
    this->refusing = true;
}

void Front::stopAccepting()
{
    this->server->stopAccepting();
}

int Front::port() const
{
    return this->server->port();
}

std::size_t Front::openExchanges() const
{
    return this->server->openExchanges();
}

void Front::report(Metrics &metrics) const
{
    const HttpRequestStats requests = this->server->requestStats();
    metrics.gauge("request_bytes_held", "", static_cast<double>(requests.bytes));
    metrics.gauge("incomplete_requests", "", static_cast<double>(requests.incomplete));
    metrics.gauge("incomplete_requests_refused", "", static_cast<double>(requests.refused));
}

bool Front::isRefusing() const
{
    return this->refusing;
}

void Front::receive(const std::shared_ptr<HttpExchange> &exchange)
{
    const std::string &path = exchange->request().path;
    for (const OperatorPath &entry : this->operatorPaths) {
        if (path.starts_with(entry.prefix)) {
            entry.handler(exchange);
            return;
        }
    }
    for (const CallerPath &entry : this->callerPaths) {
        if (path.starts_with(entry.prefix)) {
            this->receiveCaller(exchange, entry);
            return;
        }
    }
    this->refuse(*exchange, {ErrorKind::NotFound, "this host serves no such path"}, "");
}

void Front::receiveCaller(const std::shared_ptr<HttpExchange> &exchange, const CallerPath &path)
{
    const HttpRequest &request = exchange->request();
    const std::string requestId = makeId(this->context.random);
    if (!path.method.empty() && request.method != path.method) {
        this->refuse(*exchange, {ErrorKind::MethodNotAllowed, "method not allowed, use " + path.method}, requestId);
    } else if (request.body.size() > this->context.settings.limits.maxBodyBytes) {
        this->refuse(
            *exchange, {ErrorKind::BodyTooLarge, "the request body exceeds the size limit of this host"}, requestId);
    } else if (this->refusing) {
        this->refuse(*exchange, {ErrorKind::HostStopping, "this host is stopping"}, requestId);
    } else if (!this->context.fleet.isReady() || !this->context.backends.isReady()) {
        this->refuse(
            *exchange,
            {ErrorKind::HostNotReady, "this host has not yet received the configuration and polled its servers"},
            requestId);
    } else if (this->context.fleet.isStale()) {
        this->refuse(
            *exchange, {ErrorKind::ConfigurationStale, "the configuration has not been confirmed recently"}, requestId);
    } else if (auto caller = this->authenticate(request); !caller) {
        this->refuse(*exchange, caller.error(), requestId);
    } else {
        caller.value().requestId = requestId;
        path.handler(exchange, caller.value());
    }
}

Result<Caller> Front::authenticate(const HttpRequest &request)
{
    const auto header = request.headers.find("authorization");
    if (header == request.headers.end() || !header->second.starts_with(BearerPrefix)) {
        return Error {ErrorKind::Unauthorized, "the request has no API key"};
    }
    this->access.update(this->context.fleet.fleet());
    const auto organisation = this->access.organisationOf(header->second.substr(BearerPrefix.size()));
    if (!organisation) {
        return organisation.error();
    }
    return Caller {organisation.value(), ""};
}

void Front::refuse(HttpExchange &exchange, const Error &error, const std::string &requestId)
{
    this->context.metrics.count("refusals", fmt::format("kind=\"{}\"", errorAnswer(error.kind).name));
    logLine("front", "{} refused: {}", requestId.empty() ? exchange.request().path : requestId, error.detail);
    replyError(
        exchange, error, {this->context.settings.host, requestId, retryHint(error.kind, this->context.random())});
}

} // namespace endivespan
