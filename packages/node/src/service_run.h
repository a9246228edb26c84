#pragma once

#include "claim_task.h"
#include "context.h"
#include "server_picker.h"
#include "service_request.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

/// One call of a plain service from its arrival to its answer.
namespace endivespan {

/// What a run needs beside the context.
struct ServiceJob {
    std::shared_ptr<HttpExchange> exchange;
    Caller caller;
    ServiceRequest request;
    bool idempotent = false;
};

/// Is told about runs, by the id that each was made with.
class ServiceObserver
{
public:
    virtual ~ServiceObserver() = default;

    /// An attempt failed; @returns true when the run may make another one.
    virtual bool mayRetry() = 0;

    /// The caller has its answer, or has gone, and nothing is under way any more. Called once.
    virtual void onEnd(std::uint64_t id, bool answered) = 0;
};

/// Claims a non-idempotent call, sends it once, and records its answer; repeats an idempotent call where that helps.
class ServiceRun
{
public:
    /// @param id Identifies the run to @p observer, which must outlive it, as must @p claims and @p picker.
    ServiceRun(NodeContext &context,
               ClaimTask &claims,
               ServerPicker &picker,
               ServiceJob job,
               std::uint64_t id,
               ServiceObserver &observer);
    ~ServiceRun();
    ServiceRun(const ServiceRun &) = delete;
    ServiceRun &operator=(const ServiceRun &) = delete;

    /// Starts; never ends the run inside this call.
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
    void stopCall();
    void settleClaim(OutcomeKind kind, const ClaimAnswer &answer);
    void giveUpClaim();
    void reply(const ClaimAnswer &answer, bool replayed);
    void refuse(const Error &error, Duration retryAfter = Duration::zero());
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
    std::optional<ClaimTicket> ticket; ///< Held from begin() to the end of the claim.
    bool runStarted = false; ///< The claim allows bytes to be sent.
    std::vector<ServerHandle> excluded;
    std::uint32_t attempts = 0;
    bool cutOnce = false; ///< A server went away while it may have been running an idempotent call.
    ServerHandle server;
    bool callAnswered = false;
    unsigned creditWaits = 0;
    std::optional<CreditUse> credit; ///< The right that the call under way was sent with.
    std::unique_ptr<HttpPending> call;
    std::unique_ptr<Timer> startTimer;
    std::unique_ptr<Timer> deadlineTimer;
    bool ended = false;
};

} // namespace endivespan
