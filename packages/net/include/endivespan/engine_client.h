#pragma once

#include <endivespan/error.h>
#include <endivespan/loop.h>
#include <endivespan/prefix.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

/// Client for model engines.
namespace endivespan {

/// One cache piece that the engine imports from a store before prefill.
struct PieceImport {
    PieceKey piece;
    std::string store; ///< "a.b.c.d:port".
    std::uint64_t generation = 0; ///< Generation that the store assigned when it sealed the piece.
};

/// One attempt to run a prompt on one engine.
struct EngineRequest {
    std::string address; ///< "a.b.c.d:port".
    std::string attemptId; ///< Unique for each attempt; the engine repeats it in each event.
    PieceScope scope;
    std::string prompt;
    std::vector<PieceKey> pieces;
    std::vector<PieceImport> imports;
    std::uint32_t maxTokens = 0;
    std::uint32_t resumeFrom = 0; ///< Index of the first token to return.
    int priority = 0; ///< Lower values run first.
    std::chrono::milliseconds deadline {0}; ///< Time left until the complete answer is due.
};

/// One token of a streamed answer.
struct EngineToken {
    std::uint32_t index = 0;
    std::string text;
};

/// Summary that an engine sends at the end of an answer.
struct EngineSummary {
    std::uint32_t count = 0; ///< Tokens of the whole answer, including those before resumeFrom.
    std::uint32_t cachedTokens = 0;
    std::uint32_t importedTokens = 0;
    std::uint32_t recomputedTokens = 0;
    std::chrono::milliseconds queueTime {0};
    std::string version;
    std::string incarnation;
};

/// Why an engine refused a request before doing any work on it.
enum class EngineRefusal {
    QueueFull,
    Cold,
    WrongVersion,
    Stopping,
    Other,
};

/// Callbacks of one attempt. Exactly one of onDone, onRefused and onFailure is called, unless the run is destroyed
/// first.
struct EngineCallbacks {
    std::function<void(const EngineToken &)> onToken;
    std::function<void(const EngineSummary &)> onDone;
    std::function<void(EngineRefusal, const std::string &detail)> onRefused;
    std::function<void(const Error &, bool requestSent)>
        onFailure; ///< ProtocolError: an event was unreadable or belonged to another request.
};

/// Load report of an engine, a plain service or a store host; may lag behind the actual load.
struct EngineLoad {
    std::string incarnation;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t capacity = 0;
    std::vector<std::string> versions;
    double prefillTokensPerSecond = 0;
    double decodeMillisecondsPerToken = 0;
    double importBytesPerSecond = 0;
    std::uint64_t queuedPrefillTokens = 0;
    std::uint32_t freePieces = 0;
};

/// A change of an engine's cache.
struct EngineCacheEvent {
    std::uint64_t sequence = 0;
    bool stored = false; ///< False when the piece was evicted.
    PieceKey piece;
};

/// Cache events since a sequence number; some may be missing.
struct EngineCacheEvents {
    std::string incarnation;
    std::uint64_t next = 0;
    std::vector<EngineCacheEvent> events;
};

/// An attempt in progress; destroying it closes its connection, and no callback is called any more.
class EngineRun
{
public:
    virtual ~EngineRun() = default;
};

/// Client for any number of engines. The only implementation uses HTTP.
class EngineClient
{
public:
    virtual ~EngineClient() = default;

    /// Starts one attempt. Callbacks are never called from inside this function.
    [[nodiscard]] virtual std::unique_ptr<EngineRun> run(const EngineRequest &request, EngineCallbacks callbacks) = 0;

    /// Asks the engine to stop an attempt, and ignores the answer.
    virtual void cancel(const std::string &address, const std::string &attemptId) = 0;

    /// Reads the load report.
    /// @param done Receives the report, or an error: Timeout, ConnectionFailed or StreamCut of the HTTP call, NotFound
    /// or
    ///     BackendFailed for an HTTP error status, or ProtocolError for an unreadable answer.
    virtual void load(const std::string &address, std::function<void(Result<EngineLoad>)> done) = 0;

    /// Reads the cache events from sequence number @p after onwards.
    virtual void
    events(const std::string &address, std::uint64_t after, std::function<void(Result<EngineCacheEvents>)> done)
        = 0;

    /// Sends the engine an order to export one piece to a store.
    /// @param fence Fencing number of the lease under which the order is given.
    /// @param done Receives the generation of the sealed piece, or the error.
    virtual void exportPiece(const std::string &address,
                             const PieceKey &piece,
                             const std::string &store,
                             std::uint64_t fence,
                             std::function<void(Result<std::uint64_t>)> done)
        = 0;

    /// Sends the engine an order to load a version of the weights.
    virtual void loadVersion(const std::string &address,
                             const std::string &version,
                             std::uint64_t fence,
                             std::function<void(Result<void>)> done)
        = 0;

    /// @returns a client. Destroying it cancels pending calls without calling back; an EngineRun continues.
    static std::unique_ptr<EngineClient> create(Loop &loop);
};

} // namespace endivespan
