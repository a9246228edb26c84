#pragma once

#include "context.h"
#include "prompt_run.h"

#include <cstdint>
#include <map>
#include <memory>

/// Serves the prompt APIs: admits requests and owns their runs.
namespace endivespan {

/// All prompts under way on this host.
class PromptTask
{
public:
    explicit PromptTask(NodeContext &context);
    ~PromptTask();
    PromptTask(const PromptTask &) = delete;
    PromptTask &operator=(const PromptTask &) = delete;

    /// Takes one request of an authenticated caller; the answer or an error is sent on its exchange.
    void serve(PromptApi api, const std::shared_ptr<HttpExchange> &exchange, const Caller &caller);

    /// Frees the runs that have ended and starts exports; call each tick.
    void tick();

    /// @returns the prompts under way.
    [[nodiscard]] std::size_t inFlight() const;

private:
    [[nodiscard]] Result<PromptJob>
    admit(PromptApi api, const std::shared_ptr<HttpExchange> &exchange, const Caller &caller) const;
    void onEnd(std::uint64_t id, PromptEnd how);

    NodeContext &context;
    std::unique_ptr<Router> router;
    ExportTask exports;
    std::uint64_t nextId = 0;
    std::map<std::uint64_t, std::unique_ptr<PromptRun>> runs;
    std::vector<std::unique_ptr<PromptRun>>
        ended; ///< Freed at the next tick: their callbacks may still be on the stack.
};

} // namespace endivespan
