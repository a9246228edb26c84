#pragma once

#include "context.h"
#include "prompt_run.h"

#include <endivespan/admit.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

/// Serves the prompt APIs.
namespace endivespan {

/// Admits prompt requests, queues them by model, and owns their runs, both waiting and under way.
class PromptTask : private PromptObserver
{
public:
    explicit PromptTask(NodeContext &context);
    ~PromptTask() override;
    PromptTask(const PromptTask &) = delete;
    PromptTask &operator=(const PromptTask &) = delete;

    /// Handles one request of an authenticated caller. The answer or an error is sent on @p exchange.
    void serve(PromptApi api, const std::shared_ptr<HttpExchange> &exchange, const Caller &caller);

    /// Updates the queues' capacities, frees the runs that have ended and starts exports; must be called on every tick.
    /// @param liveHosts Number of hosts that share the runners, including this one.
    void tick(std::size_t liveHosts);

    /// @returns the number of prompts that are waiting or under way.
    [[nodiscard]] std::size_t inFlight() const;

private:
    [[nodiscard]] Result<PromptJob>
    admit(PromptApi api, const std::shared_ptr<HttpExchange> &exchange, const Caller &caller) const;
    void enqueue(std::uint64_t id, const PromptRun &run);
    void carryOut(const AdmissionActions &actions);
    Admission &queueOf(const std::string &model);
    [[nodiscard]] AdmissionCapacity capacityOf(const std::string &model) const;
    Admission *queueOfRun(std::uint64_t id);

    void onPlanned(std::uint64_t id, std::uint32_t recomputeTokens) override;
    void onFirstToken(std::uint64_t id) override;
    bool mayRetryRefusal() override;
    void onEnd(std::uint64_t id, PromptEnd how) override;

    NodeContext &context;
    std::unique_ptr<Router> router;
    ExportTask exports;
    std::uint64_t nextId = 0;
    std::size_t liveHosts = 1;
    RetryBudget retries;
    std::map<std::string, std::unique_ptr<Admission>> queues; ///< By name of the model.
    std::map<std::uint64_t, std::unique_ptr<PromptRun>> runs;
    std::vector<std::unique_ptr<PromptRun>>
        ended; ///< Freed at the next tick: their callbacks may still be on the stack.
};

} // namespace endivespan
