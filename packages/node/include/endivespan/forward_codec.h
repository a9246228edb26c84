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

/// Interfaces between the forwarding path and the protocols that it speaks. The path makes all decisions; codecs only
/// translate between wire formats and the types below.
namespace endivespan {

/// One part of a prompt. Requests whose prompts begin with the same parts can share the cached prefix.
struct PromptPart {
    std::string id;
    std::uint32_t tokens = 0;
};

/// One request as received from its caller.
struct ForwardRequest {
    std::string id; ///< Request id; the caller uses a new one for each attempt.
    std::string host; ///< Value of the Host header.
    std::string path; ///< Path of the request target, without the query.
    std::string key; ///< API key; empty when the request has none.
    std::optional<std::chrono::milliseconds> deadline; ///< How long the caller will wait for the answer.
    std::string model; ///< Empty for services without models.
    std::vector<PromptPart> parts;
    std::uint32_t answerTokens = 0; ///< Upper limit on the tokens of the answer.
    std::optional<std::uint64_t> lastEvent; ///< Event of an earlier answer after which to resume.
    HttpHeaders headers; ///< Forwarded to the server unchanged.
};

/// What a server is sent with one attempt, beside the request itself.
struct ForwardDispatch {
    std::string server; ///< Server that the attempt is meant for; any other server refuses it.
    std::string organisation; ///< Empty on public routes.
    std::chrono::milliseconds timeLeft {}; ///< Until the deadline of the request.
    std::optional<int> priority; ///< 0 is the most urgent.
    std::string cacheScope; ///< Only requests with the same scope share cached prefixes.
    std::optional<std::uint64_t> weights; ///< Version of the weights; a server with another version refuses.
    std::optional<std::uint64_t> lastEvent; ///< Event after which the answer must resume.
    TransferPlan transfers;
};

/// What the header fields of a server's answer state, beside the HTTP status.
struct ServerAnswer {
    bool notRun = false; ///< The server guarantees that it has not run the request.
    std::string server; ///< Name of the server that answered; empty when the answer does not state it.
    bool genuine = false; ///< The answer carries the header field by which backend servers mark their answers.
    std::optional<ServerLoadReport> load;
    std::optional<std::uint64_t> weights; ///< Version of the weights that the server has loaded.
    bool leaving = false; ///< The server states that it is leaving.
    std::optional<std::chrono::milliseconds> coldFor; ///< Time until it is no longer cold, if stated.
    std::optional<std::chrono::milliseconds> rest; ///< After a refusal: send it no requests for this long.
    std::string badRest; ///< Text of a rest time that could not be parsed; empty otherwise.

    /// @returns whether the answer states that it comes from a server other than @p asked.
    [[nodiscard]] bool isFromOther(const std::string &asked) const
    {
        return !this->server.empty() && this->server != asked;
    }
};

/// Translates between the HTTP protocol of callers and servers and the types above.
class ForwardCodec
{
public:
    virtual ~ForwardCodec() = default;

    /// @returns the request, or BadRequest when it is malformed.
    [[nodiscard]] virtual Result<ForwardRequest> decodeRequest(const HttpRequest &request) const = 0;

    /// @returns the header fields to send to a server with one attempt.
    [[nodiscard]] virtual HttpHeaders encodeDispatch(const ForwardRequest &request,
                                                     const ForwardDispatch &dispatch) const = 0;

    /// @returns what the status and header fields of a server's answer state.
    [[nodiscard]] virtual ServerAnswer decodeAnswer(int status, const HttpHeaders &headers) const = 0;

    /// @returns false when the header fields show that an answer belongs to a request other than @p requestId.
    [[nodiscard]] virtual bool belongs(const std::string &requestId, const HttpHeaders &headers) const = 0;

    /// @returns those header fields of a server's answer that are forwarded to the caller.
    [[nodiscard]] virtual HttpHeaders callerHeaders(const HttpHeaders &headers) const = 0;

    /// @returns the value of the Retry-After header for @p time.
    [[nodiscard]] virtual std::string encodeRetryAfter(std::chrono::milliseconds time) const = 0;

    /// @returns the names of the header fields that a request may contain only once.
    [[nodiscard]] virtual std::set<std::string> singleFields() const = 0;

    /// @returns the path of the readiness check that the load balancer calls.
    [[nodiscard]] virtual std::string readinessPath() const = 0;
};

/// An operator's record that a failure domain is evacuated, or no longer is.
struct EvacuationRecord {
    std::string domain;
    bool inForce = false;
};

/// An operator's record of the weight version that a model shall use.
struct WeightsRecord {
    std::string model;
    std::uint64_t version = 0;
};

/// One decoded record of an operator; std::monostate when it concerns nothing that hosts use.
using OperatorRecord
    = std::variant<std::monostate, std::shared_ptr<const ForwardConfig>, EvacuationRecord, WeightsRecord>;

/// Decodes the records of the log service that operators and backend servers write.
class RecordCodec
{
public:
    virtual ~RecordCodec() = default;

    [[nodiscard]] virtual std::string operatorTopic() const = 0;
    [[nodiscard]] virtual std::string serverTopic() const = 0;
    [[nodiscard]] virtual std::string hostTopic() const = 0; ///< Topic in which the hosts list themselves.
    [[nodiscard]] virtual std::string leaseTopic() const = 0;
    [[nodiscard]] virtual std::string suspectTopic() const = 0; ///< Topic in which the hosts keep suspicions.
    [[nodiscard]] virtual std::string trialTopic() const = 0; ///< Topic in which they permit trials of suspects.

    /// @param value Empty when the key was deleted.
    /// @returns the decoded record, std::monostate for keys that hosts do not use, or ProtocolError.
    [[nodiscard]] virtual Result<OperatorRecord> decodeOperator(const std::string &key,
                                                                const std::optional<std::string> &value) const = 0;

    /// @returns the entry, or ProtocolError when it does not describe a usable server.
    [[nodiscard]] virtual Result<ServerEntry> decodeServer(const std::string &key, const std::string &value) const = 0;
};

/// Queries engines for their state and sends them orders to change weights.
class EngineControl
{
public:
    virtual ~EngineControl() = default;

    /// Sets the callback that receives the address of a server whose answer states that it is leaving.
    virtual void onLeaving(std::function<void(const std::string &address)> told) = 0;

    /// Queries the state of the engine at @p address.
    virtual void ask(const std::string &address, std::function<void(Result<EngineState>)> done) = 0;

    /// Sends an order to an engine.
    /// @param holder Holder of the order lease, and @p fence its fence.
    /// @param done Receives true when the engine accepted the order or already has these weights, false when it
    ///     refused, and OutcomeUnknown when it did not answer.
    virtual void give(const WeightOrder &order,
                      const std::string &holder,
                      std::uint64_t fence,
                      std::function<void(Result<bool>)> done)
        = 0;
};

/// Queries stores for the prompt parts that they hold, and frees parts in them.
class StoreControl
{
public:
    virtual ~StoreControl() = default;

    /// Reads the events numbered @p since and later. The store may delay its answer by up to @p wait.
    virtual void events(const std::string &address,
                        std::uint64_t since,
                        std::chrono::milliseconds wait,
                        std::function<void(Result<StoreEvents>)> done)
        = 0;

    /// Lists all parts. The call is expensive for the store.
    virtual void list(const std::string &address, std::function<void(Result<StoreEvents>)> done) = 0;

    /// Frees parts, unless the store has restarted since it had the epoch @p epoch.
    virtual void free(const std::string &address,
                      std::uint64_t epoch,
                      const std::vector<ScopedPart> &parts,
                      std::function<void(Result<void>)> done)
        = 0;
};

} // namespace endivespan
