#pragma once

#include <endivespan/error.h>
#include <endivespan/http_server.h>

#include <chrono>
#include <cstdint>
#include <string>

/// Parses prompt requests, whose bodies are OpenAI-compatible.
namespace endivespan {

/// The API that was called. The two differ in how the prompt is given and in the format of the answer.
enum class PromptApi {
    Completions,
    Chat,
};

/// A parsed and validated prompt request.
struct PromptRequest {
    PromptApi api = PromptApi::Completions;
    std::string model;
    std::string adapter;
    std::string prompt;
    std::uint32_t maxTokens = 0;
    bool stream = false;
    int priority = 0;
    std::chrono::milliseconds deadline {0};
};

/// Point in an earlier answer from which a reconnecting caller resumes.
struct ResumePoint {
    std::string requestId; ///< Id of the earlier request; empty for a new request.
    std::string version;
    std::uint32_t firstIndex = 0;
};

/// @param defaultDeadline Used when the body has no deadline.
/// @returns the request, or BadRequest that names the invalid field.
Result<PromptRequest>
parsePromptRequest(PromptApi api, const std::string &body, std::chrono::milliseconds defaultDeadline);

/// Parses the Last-Event-ID header.
/// @returns the point to resume from, an empty one when there is no such header, or BadRequest.
Result<ResumePoint> parseResumePoint(const HttpHeaders &headers);

/// @returns the event id of one token, in the format that parseResumePoint() parses.
std::string eventId(const std::string &requestId, const std::string &version, std::uint32_t index);

} // namespace endivespan
