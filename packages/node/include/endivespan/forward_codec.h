#pragma once

#include <endivespan/error.h>
#include <endivespan/forward.h>
#include <endivespan/http_server.h>
#include <endivespan/rollout.h>
#include <endivespan/server_table.h>
#include <endivespan/shared_store.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// What the serving path needs to be told of the wire it serves on. The path decides; a codec only translates.
namespace endivespan {

/// One part of a prompt; requests with the same leading parts share their cached prefix.
struct PromptPart {
    std::string id;
    std::uint32_t tokens = 0;
};

/// One request as its caller sent it.
struct ForwardRequest {
    std::string id; ///< Of this attempt of the caller.
    std::string host; ///< As in the Host header.
    std::string path; ///< As sent, without the query.
    std::string key; ///< API key, empty for none.
    std::optional<std::chrono::milliseconds> deadline; ///< How long the caller waits.
    std::string model; ///< Empty for services without models.
    std::vector<PromptPart> parts;
    std::uint32_t answerTokens = 0; ///< Most that the answer may have.
    std::optional<std::uint64_t> lastEvent; ///< The caller goes on after this event of an earlier answer.
    HttpHeaders headers; ///< To be passed on as they are.
};

/// What is told to a server with one attempt.
struct ForwardDispatch {
    std::string server; ///< Any other one refuses.
    std::string organisation; ///< Empty on public routes.
    std::chrono::milliseconds timeLeft {};
    std::optional<int> priority; ///< 0 is the most urgent.
    std::string cacheScope; ///< Requests with different ones share no cached prefix.
    std::optional<std::uint64_t> weights; ///< A server with other weights refuses.
    std::optional<std::uint64_t> lastEvent; ///< The answer goes on after this event.
    TransferPlan transfers;
};

/// What the head of a server's answer says beside its status.
struct ServerAnswer {
    bool notRun = false; ///< The server promises that it has not run the request.
    std::string server; ///< Who answered, where the answer says so.
    bool genuine = false; ///< It bears the server's mark.
    std::optional<ServerLoadReport> load;
    std::optional<std::uint64_t> weights; ///< Version that the server has.
    bool leaving = false; ///< The server leaves.
    std::optional<std::chrono::milliseconds> coldFor; ///< How much longer it is cold, where it says so.
    std::optional<std::chrono::milliseconds> rest; ///< It refused, and wants nothing from this host for so long.
    std::string badRest; ///< What stood there instead of a time; empty when nothing did.

    /// @returns whether the answer says that it comes from another server than @p asked.
    [[nodiscard]] bool isFromOther(const std::string &asked) const
    {
        return !this->server.empty() && this->server != asked;
    }
};

/// Translates between one wire and the types above.
class ForwardCodec
{
public:
    virtual ~ForwardCodec() = default;

    /// @returns the request, or BadRequest.
    [[nodiscard]] virtual Result<ForwardRequest> decodeRequest(const HttpRequest &request) const = 0;

    /// @returns the header fields for a server.
    [[nodiscard]] virtual HttpHeaders encodeDispatch(const ForwardRequest &request,
                                                     const ForwardDispatch &dispatch) const = 0;

    [[nodiscard]] virtual ServerAnswer decodeAnswer(int status, const HttpHeaders &headers) const = 0;

    /// @returns whether an answer is one to @p requestId.
    [[nodiscard]] virtual bool belongs(const std::string &requestId, const HttpHeaders &headers) const = 0;

    /// @returns the fields of a server's answer that its caller gets.
    [[nodiscard]] virtual HttpHeaders callerHeaders(const HttpHeaders &headers) const = 0;

    /// @returns the value of Retry-After.
    [[nodiscard]] virtual std::string encodeRetryAfter(std::chrono::milliseconds time) const = 0;

    /// @returns the header fields that may come once only.
    [[nodiscard]] virtual std::set<std::string> singleFields() const = 0;

    /// @returns the path at which the balancer asks whether this host takes callers.
    [[nodiscard]] virtual std::string readinessPath() const = 0;
};

/// What a record of the operators says.
struct EvacuationRecord {
    std::string domain;
    bool inForce = false;
};
struct WeightsRecord {
    std::string model;
    std::uint64_t version = 0;
};
using OperatorRecord
    = std::variant<std::monostate, std::shared_ptr<const ForwardConfig>, EvacuationRecord, WeightsRecord>;

/// Reads records of the log that others write.
class RecordCodec
{
public:
    virtual ~RecordCodec() = default;

    [[nodiscard]] virtual std::string operatorTopic() const = 0;
    [[nodiscard]] virtual std::string serverTopic() const = 0;
    [[nodiscard]] virtual std::string hostTopic() const = 0; ///< Of this system's own hosts.
    [[nodiscard]] virtual std::string leaseTopic() const = 0;

    /// @param value Nothing when the key was dropped.
    /// @returns what the record says, std::monostate for keys of no concern, or ProtocolError.
    [[nodiscard]] virtual Result<OperatorRecord> decodeOperator(const std::string &key,
                                                                const std::optional<std::string> &value) const = 0;

    /// @returns the entry, or ProtocolError for one that names no server to use.
    [[nodiscard]] virtual Result<ServerEntry> decodeServer(const std::string &key, const std::string &value) const = 0;
};

/// Asks engines and gives them orders.
class EngineControl
{
public:
    virtual ~EngineControl() = default;

    /// Sets who is told the address of a server that says in an answer that it leaves.
    virtual void onLeaving(std::function<void(const std::string &address)> told) = 0;

    /// Asks for an engine's state.
    virtual void ask(const std::string &address, std::function<void(Result<EngineState>)> done) = 0;

    /// Gives an order. @param done Gets whether it was accepted or already holds; OutcomeUnknown without an answer.
    virtual void give(const WeightOrder &order,
                      const std::string &holder,
                      std::uint64_t fence,
                      std::function<void(Result<bool>)> done)
        = 0;
};

/// Asks stores of prompt parts what they hold, and frees parts.
class StoreControl
{
public:
    virtual ~StoreControl() = default;

    /// Asks for events from number @p since on; the store may hold the call for @p wait.
    virtual void events(const std::string &address,
                        std::uint64_t since,
                        std::chrono::milliseconds wait,
                        std::function<void(Result<StoreEvents>)> done)
        = 0;

    /// Asks for all parts; dear to the store.
    virtual void list(const std::string &address, std::function<void(Result<StoreEvents>)> done) = 0;

    /// Frees parts, unless the store has started again since @p epoch.
    virtual void free(const std::string &address,
                      std::uint64_t epoch,
                      const std::vector<ScopedPart> &parts,
                      std::function<void(Result<void>)> done)
        = 0;
};

} // namespace endivespan
