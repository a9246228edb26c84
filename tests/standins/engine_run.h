#pragma once

#include "answer_text.h"
#include "standin.h"

#include <string>
#include <vector>

namespace endivespan::standins {

/// One piece to fetch before prefill.
struct ImportItem {
    PieceKey piece;
    std::string store; ///< "a.b.c.d:port".
    std::uint64_t generation = 0;
};

/// One completion request as received.
struct CompletionRequest {
    std::string requestId;
    PieceScope scope;
    std::string prompt; ///< Dropped once the run knows its pieces.
    std::uint64_t maxTokens = 16;
    std::uint64_t resumeFrom = 0;
    std::int64_t priority = 0;
    Duration deadline {}; ///< Zero for none.
    std::vector<PieceKey> pieces;
    bool hasPieces = false;
    std::vector<ImportItem> imports;
};

/// Reads a completion request.
/// @param body JSON body as received.
/// @param request Gets the fields.
/// @returns an empty text, or what is wrong.
std::string parseCompletion(const json &body, CompletionRequest &request);

/// Where a run stands.
enum class RunPhase {
    Queued,
    Importing,
    Prefilling,
    Decoding,
};

/// One completion under way.
struct Run {
    Run(std::uint64_t number, CompletionRequest completion, ExchangePtr caller, TimePoint now);

    /// Sends the events of all tokens up to @p due - 1 that were not sent yet.
    void sendTokens(std::uint64_t due, TimePoint now);

    /// Sends a comment that shows the stream is alive.
    void sendHeartbeat(TimePoint now);

    /// Sends the closing event and ends the stream.
    void finish(TimePoint now, const std::string &incarnation);

    /// Ends the stream with an event that says why the answer is not whole.
    void fail(const std::string &error);

    std::uint64_t number; ///< In order of arrival.
    CompletionRequest request;
    ExchangePtr exchange;
    AnswerText text;
    std::vector<PieceKey> chain;
    std::uint64_t promptTokens;
    bool poison; ///< The prompt carries the marker of a poison request.
    RunPhase phase = RunPhase::Queued;
    bool silent = false; ///< The connection went silent: nothing is sent any more.
    TimePoint arrived;
    TimePoint expires;
    TimePoint started;
    TimePoint decodeFrom;
    TimePoint lastSent;
    std::uint64_t nextToken;
    std::uint64_t cachedTokens = 0;
    std::uint64_t importedTokens = 0;
    std::uint64_t recomputedTokens = 0;
    std::vector<PieceKey> pinned; ///< Pieces kept from eviction for this run.
    std::size_t nextImport = 0;
    std::unique_ptr<HttpPending> fetch;
};

} // namespace endivespan::standins
