#include "prompt_request.h"

#include <endivespan/config.h>

#include <nlohmann/json.hpp>

#include <charconv>
#include <limits>

namespace endivespan {

namespace {

using nlohmann::json;

constexpr std::int64_t MaxDeadlineMs = 600'000;
constexpr std::int64_t MaxPriority = 10;

Error badField(const std::string &field, const std::string &wanted)
{
    return {ErrorKind::BadRequest, "'" + field + "' must be " + wanted};
}

Result<std::string> stringField(const json &body, const std::string &name, bool required)
{
    if (!body.contains(name)) {
        if (required) {
            return badField(name, "given");
        }
        return std::string();
    }
    if (!body[name].is_string()) {
        return badField(name, "a string");
    }
    return body[name].get<std::string>();
}

Result<std::int64_t>
intField(const json &body, const std::string &name, std::int64_t fallback, std::int64_t low, std::int64_t high)
{
    if (!body.contains(name)) {
        return fallback;
    }
    const json &value = body[name];
    const bool fits
        = value.is_number_integer() && !(value.is_number_unsigned() && value.get<std::uint64_t>() > INT64_MAX);
    if (!fits || value.get<std::int64_t>() < low || value.get<std::int64_t>() > high) {
        return badField(name, "an integer from " + std::to_string(low) + " to " + std::to_string(high));
    }
    return value.get<std::int64_t>();
}

Result<std::string> chatPrompt(const json &body)
{
    if (!body.contains("messages") || !body["messages"].is_array() || body["messages"].empty()) {
        return badField("messages", "a list of at least one message");
    }
    std::string prompt;
    for (const json &message : body["messages"]) {
        const bool readable = message.is_object() && message.contains("role") && message["role"].is_string()
            && message.contains("content") && message["content"].is_string();
        if (!readable) {
            return badField("messages", "a list of objects with a string 'role' and a string 'content'");
        }
        prompt += message["role"].get_ref<const std::string &>();
        prompt += ": ";
        prompt += message["content"].get_ref<const std::string &>();
        prompt += '\n';
    }
    return prompt;
}

Result<void> readNumbers(const json &body, std::chrono::milliseconds defaultDeadline, PromptRequest &request)
{
    const auto maxTokens = intField(body, "max_tokens", config::DefaultMaxTokens, 1, config::MaxTokensLimit);
    if (!maxTokens) {
        return maxTokens.error();
    }
    const auto priority = intField(body, "priority", 0, -MaxPriority, MaxPriority);
    if (!priority) {
        return priority.error();
    }
    const auto deadline = intField(body, "deadline_ms", defaultDeadline.count(), 1, MaxDeadlineMs);
    if (!deadline) {
        return deadline.error();
    }
    request.maxTokens = static_cast<std::uint32_t>(maxTokens.value());
    request.priority = static_cast<int>(priority.value());
    request.deadline = std::chrono::milliseconds(deadline.value());
    return boost::outcome_v2::success();
}

bool isPlainName(const std::string &text)
{
    return !text.empty()
        && text.find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-")
        == std::string::npos;
}

} // namespace

Result<PromptRequest>
parsePromptRequest(PromptApi api, const std::string &body, std::chrono::milliseconds defaultDeadline)
{
    const json fields = json::parse(body, nullptr, false);
    if (!fields.is_object()) {
        return Error {ErrorKind::BadRequest, "the body is not a JSON object"};
    }
    PromptRequest request;
    request.api = api;
    const auto model = stringField(fields, "model", true);
    if (!model) {
        return model.error();
    }
    const auto adapter = stringField(fields, "adapter", false);
    if (!adapter) {
        return adapter.error();
    }
    const auto prompt = api == PromptApi::Chat ? chatPrompt(fields) : stringField(fields, "prompt", true);
    if (!prompt) {
        return prompt.error();
    }
    if (fields.contains("stream") && !fields["stream"].is_boolean()) {
        return badField("stream", "true or false");
    }
    if (const auto numbers = readNumbers(fields, defaultDeadline, request); !numbers) {
        return numbers.error();
    }
    request.model = model.value();
    request.adapter = adapter.value();
    request.prompt = prompt.value();
    request.stream = fields.value("stream", false);
    return request;
}

Result<ResumePoint> parseResumePoint(const HttpHeaders &headers)
{
    const auto header = headers.find("last-event-id");
    if (header == headers.end() || header->second.empty()) {
        return ResumePoint {};
    }
    const std::string &text = header->second;
    const auto first = text.find(':');
    const auto second = text.rfind(':');
    ResumePoint point;
    std::uint32_t index = 0;
    const char *end = text.data() + text.size();
    const bool hasParts = first != std::string::npos && second > first;
    const bool hasIndex
        = hasParts && std::from_chars(text.data() + second + 1, end, index).ptr == end && second + 1 < text.size();
    if (hasIndex) {
        point.requestId = text.substr(0, first);
        point.version = text.substr(first + 1, second - first - 1);
        point.firstIndex = index + 1;
    }
    if (!hasIndex || index == std::numeric_limits<std::uint32_t>::max() || !isPlainName(point.requestId)
        || !isPlainName(point.version)) {
        return Error {ErrorKind::BadRequest, "'Last-Event-ID' is not an event id that this service issued"};
    }
    return point;
}

std::string eventId(const std::string &requestId, const std::string &version, std::uint32_t index)
{
    return requestId + ":" + version + ":" + std::to_string(index);
}

} // namespace endivespan
