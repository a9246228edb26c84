#include "answer.h"

#include <endivespan/config.h>

#include <nlohmann/json.hpp>

namespace endivespan {

std::string errorBody(const Error &error, const ErrorContext &context)
{
    const ErrorAnswer &answer = errorAnswer(error.kind);
    nlohmann::json fields {
        {"kind", answer.name},
        {"message", error.detail},
        {"run", runStateName(answer.run)},
        {"retryable", answer.retryable},
        {"host", context.host},
        {"request", context.requestId},
    };
    if (context.retryAfter.count() > 0) {
        fields["retry_after_ms"] = context.retryAfter.count();
    }
    return nlohmann::json {{"error", std::move(fields)}}.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

HttpHeaders errorHeaders(const Error &error, const ErrorContext &context)
{
    HttpHeaders headers {
        {"Content-Type", "application/json"},
        {"X-Endivespan-Run", std::string(runStateName(errorAnswer(error.kind).run))},
        {"X-Endivespan-Host", context.host},
        {"X-Endivespan-Request", context.requestId},
    };
    if (context.retryAfter.count() > 0) {
        // Retry-After has a resolution of whole seconds; the body carries the exact value.
        headers["Retry-After"] = std::to_string((context.retryAfter.count() + 999) / 1000);
    }
    return headers;
}

void replyError(HttpExchange &exchange, const Error &error, const ErrorContext &context)
{
    exchange.reply(errorAnswer(error.kind).httpStatus, errorHeaders(error, context), errorBody(error, context));
}

void replyJson(HttpExchange &exchange, int status, const std::string &body)
{
    exchange.reply(status, {{"Content-Type", "application/json"}}, body);
}

std::chrono::milliseconds retryHint(ErrorKind kind, std::uint64_t random)
{
    if (!errorAnswer(kind).retryable) {
        return std::chrono::milliseconds::zero();
    }
    const auto spread = static_cast<std::uint64_t>(config::RetryHintSpread.count());
    return config::RetryHintBase + std::chrono::milliseconds(random % spread);
}

} // namespace endivespan
