#pragma once

#include <endivespan/error.h>
#include <endivespan/http_server.h>

#include <chrono>
#include <cstdint>
#include <string>

/// Reads the OpenAI-compatible body of a prompt request.
namespace endivespan {

/// Which of the two APIs was called; they differ in the shape of the answer.
enum class PromptApi {
    Completions,
    Chat,
};

/// A prompt request as the caller meant it.
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

/// Where a caller that reconnects wants its answer to go on.
struct ResumePoint {
    std::string requestId; ///< Empty for a new request.
    std::string version;
    std::uint32_t firstIndex = 0;
};

/// @param defaultDeadline Used where the body names no deadline.
/// @returns the request, or BadRequest with the field that is wrong.
Result<PromptRequest>
parsePromptRequest(PromptApi api, const std::string &body, std::chrono::milliseconds defaultDeadline);

/// Reads the Last-Event-ID header.
/// @returns the point to go on from, an empty one without the header, or BadRequest.
Result<ResumePoint> parseResumePoint(const HttpHeaders &headers);

/// @returns the event id of one token; parseResumePoint() reads it back.
std::string eventId(const std::string &requestId, const std::string &version, std::uint32_t index);

} // namespace endivespan
