#pragma once

#include "service_run.h"

#include <endivespan/admit.h>

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

/// Serves plain services.
namespace endivespan {

/// Admits calls of plain services and owns their runs.
class ServiceTask : private ServiceObserver
{
public:
    /// @param claims Must outlive the task.
    ServiceTask(NodeContext &context, ClaimTask &claims, std::unique_ptr<ServerPicker> picker);
    ~ServiceTask() override;
    ServiceTask(const ServiceTask &) = delete;
    ServiceTask &operator=(const ServiceTask &) = delete;

    /// Handles one request of an authenticated caller. The answer or an error is sent on @p exchange.
    void serve(const std::shared_ptr<HttpExchange> &exchange, const Caller &caller);

    /// Frees the runs that have ended; must be called on every tick.
    void tick();

    /// @returns the number of calls under way. A call whose caller has disconnected counts until its outcome is known.
    [[nodiscard]] std::size_t inFlight() const;

private:
    [[nodiscard]] Result<ServiceJob> admit(const std::shared_ptr<HttpExchange> &exchange, const Caller &caller);
    [[nodiscard]] std::size_t inFlightOf(const std::string &organisation) const;
    bool mayRetry() override;
    void onEnd(std::uint64_t id, bool answered) override;

    NodeContext &context;
    ClaimTask &claims;
    std::unique_ptr<ServerPicker> picker;
    RetryBudget retries;
    std::uint64_t nextId = 0;
    std::map<std::uint64_t, std::unique_ptr<ServiceRun>> runs;
    std::map<std::string, std::size_t> runsByOrganisation;
    std::vector<std::unique_ptr<ServiceRun>>
        endedRuns; ///< Freed at the next tick, since their methods may still be on the stack.
};

} // namespace endivespan
