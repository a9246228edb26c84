#pragma once

#include <endivespan/error.h>
#include <endivespan/loop.h>
#include <endivespan/prefix.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

/// Client of model engines.
namespace endivespan {

/// One cache piece to fetch from a store before prefill.
struct PieceImport {
    PieceKey piece;
    std::string store; ///< "a.b.c.d:port".
    std::uint64_t generation = 0; ///< Seal of the piece in that store.
};

/// One attempt to run a prompt on one engine.
struct EngineRequest {
    std::string address; ///< "a.b.c.d:port".
    std::string attemptId; ///< Unique for each attempt; repeated by the engine in each event.
    PieceScope scope;
    std::string prompt;
    std::vector<PieceKey> pieces;
    std::vector<PieceImport> imports;
    std::uint32_t maxTokens = 0;
    std::uint32_t resumeFrom = 0; ///< First token index wanted.
    int priority = 0; ///< Lower runs first.
    std::chrono::milliseconds deadline {0}; ///< Time left for the whole answer.
};

/// One token of an answer.
struct EngineToken {
    std::uint32_t index = 0;
    std::string text;
};

/// What an engine says of an answer when it is complete.
struct EngineSummary {
    std::uint32_t count = 0; ///< Tokens of the whole answer, resumed ones included.
    std::uint32_t cachedTokens = 0;
    std::uint32_t importedTokens = 0;
    std::uint32_t recomputedTokens = 0;
    std::chrono::milliseconds queueTime {0};
    std::string version;
    std::string incarnation;
};

/// Why an engine refused before it did any work.
enum class EngineRefusal {
    QueueFull,
    Cold,
    WrongVersion,
    Stopping,
    Other,
};

/// What one attempt reports. Exactly one of onDone, onRefused and onFailure is called, unless the run is dropped first.
struct EngineCallbacks {
    std::function<void(const EngineToken &)> onToken;
    std::function<void(const EngineSummary &)> onDone;
    std::function<void(EngineRefusal, const std::string &detail)> onRefused;
    std::function<void(const Error &, bool requestSent)>
        onFailure; ///< ProtocolError: an event of another request came.
};

/// A lagging load report of an engine, a plain service or a store host.
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

/// One cache event of an engine.
struct EngineCacheEvent {
    std::uint64_t sequence = 0;
    bool stored = false; ///< False: evicted.
    PieceKey piece;
};

/// Cache events since a sequence number, perhaps with gaps.
struct EngineCacheEvents {
    std::string incarnation;
    std::uint64_t next = 0;
    std::vector<EngineCacheEvent> events;
};

/// An attempt under way; destroying it closes its connection and silences its callbacks.
class EngineRun
{
public:
    virtual ~EngineRun() = default;
};

/// Talks to any number of engines. One adapter exists: HTTP.
class EngineClient
{
public:
    virtual ~EngineClient() = default;

    /// Starts one attempt. The callbacks never run inside this function.
    [[nodiscard]] virtual std::unique_ptr<EngineRun> run(const EngineRequest &request, EngineCallbacks callbacks) = 0;

    /// Tells the engine to stop an attempt; nobody waits for the answer.
    virtual void cancel(const std::string &address, const std::string &attemptId) = 0;

    /// Reads the load report; Timeout, ConnectionFailed or ProtocolError when there is none.
    virtual void load(const std::string &address, std::function<void(Result<EngineLoad>)> done) = 0;

    /// Reads cache events from sequence number @p after on.
    virtual void
    events(const std::string &address, std::uint64_t after, std::function<void(Result<EngineCacheEvents>)> done)
        = 0;

    /// Orders the engine to export one piece to a store.
    /// @param fence Fencing number of the lease under which the order is given.
    /// @param done Gets the generation of the sealed piece.
    virtual void exportPiece(const std::string &address,
                             const PieceKey &piece,
                             const std::string &store,
                             std::uint64_t fence,
                             std::function<void(Result<std::uint64_t>)> done)
        = 0;

    /// Orders the engine to load a weight version.
    virtual void loadVersion(const std::string &address,
                             const std::string &version,
                             std::uint64_t fence,
                             std::function<void(Result<void>)> done)
        = 0;

    /// @returns a client; destroying it drops the calls under way, but not the runs.
    static std::unique_ptr<EngineClient> create(Loop &loop);
};

} // namespace endivespan
