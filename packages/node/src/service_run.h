#pragma once

#include "claim_task.h"
#include "context.h"
#include "server_picker.h"
#include "service_request.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

/// One call of a plain service, from its arrival to its answer.
namespace endivespan {

/// Input of one run.
struct ServiceJob {
    std::shared_ptr<HttpExchange> exchange;
    Caller caller;
    ServiceRequest request;
    bool idempotent = false;
};

/// Receives the events of runs. Each run is identified by the id that it was created with.
class ServiceObserver
{
public:
    virtual ~ServiceObserver() = default;

    /// An attempt failed or was refused by the server.
    /// @returns true when the run may make another attempt.
    virtual bool mayRetry() = 0;

    /// The caller has been answered or has disconnected, and no call is under way any more. Called once.
    virtual void onEnd(std::uint64_t id, bool answered) = 0;
};

/// Runs one call. A non-idempotent call is claimed, sent at most once, and its answer recorded in the log; an
/// idempotent call is retried on another server when that may help.
class ServiceRun
{
public:
    /// @param id Identifies the run to @p observer. All references must outlive the run.
    ServiceRun(NodeContext &context,
               ClaimTask &claims,
               ServerPicker &picker,
               ServiceJob job,
               std::uint64_t id,
               ServiceObserver &observer);
    ~ServiceRun();
    ServiceRun(const ServiceRun &) = delete;
    ServiceRun &operator=(const ServiceRun &) = delete;

    /// Starts the run. The run never ends inside this call.
    void start();

    [[nodiscard]] const ServiceJob &request() const;

private:
    void onVerdict(const ClaimVerdict &verdict);
    void attempt();
    bool waitForCredit(ServerHandle chosen);
    void endCredit(CreditOutcome outcome);
    void send(ServerHandle chosen);
    void onAnswer(const HttpAnswer &answer);
    void onRefusedByServer();
    void onFailure(const HttpFailure &failure);
    void onDeadline();
    void onCallerGone();
    void onInputEnded();
    void stopCall();
    void settleClaim(OutcomeKind kind, const ClaimAnswer &answer);
    void releaseClaim();
    void reply(const ClaimAnswer &answer, bool replayed);
    void refuse(const Error &cause, Duration retryAfter = Duration::zero());
    void end(bool answered);
    void note(const std::string &decision);
    [[nodiscard]] Duration timeLeft() const;

    NodeContext &context;
    ClaimTask &claims;
    ServerPicker &picker;
    ServiceJob job;
    std::uint64_t id;
    ServiceObserver &observer;
    TimePoint deadline;
    std::optional<ClaimTicket> ticket; ///< Set from ClaimTask::begin() until the claim is finished or released.
    bool runStarted = false; ///< Whether ClaimTask::startRun() allowed the request to be sent.
    std::vector<ServerHandle> excluded;
    std::uint32_t attempts = 0;
    bool failedOnce = false; ///< Whether a server failed after an idempotent call was sent to it.
    ServerHandle server;
    bool callAnswered = false;
    unsigned creditWaits = 0;
    std::optional<CreditUse> credit; ///< Credit that the call under way uses.
    std::unique_ptr<HttpPending> call;
    std::unique_ptr<Timer> startTimer;
    std::unique_ptr<Timer> deadlineTimer;
    std::unique_ptr<Timer> callerTimer; ///< Set once the caller of an idempotent call has ended its input.
    bool ended = false;
};

} // namespace endivespan
