#pragma once

#include "service_run.h"

#include <endivespan/admit.h>

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

/// Serves plain services: checks requests and owns their runs.
namespace endivespan {

/// All plain-service calls of this host.
class ServiceTask : private ServiceObserver
{
public:
    /// @param claims Must outlive the task.
    ServiceTask(NodeContext &context, ClaimTask &claims, std::unique_ptr<ServerPicker> picker);
    ~ServiceTask() override;
    ServiceTask(const ServiceTask &) = delete;
    ServiceTask &operator=(const ServiceTask &) = delete;

    /// Takes one request of an authenticated caller; the answer or an error is sent on its exchange.
    void serve(const std::shared_ptr<HttpExchange> &exchange, const Caller &caller);

    /// Frees the runs that have ended; call each tick.
    void tick();

    /// @returns the calls under way; one whose caller has gone counts until its outcome is known.
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
    std::vector<std::unique_ptr<ServiceRun>> endedRuns; ///< Freed at the next tick: they may be on the stack still.
};

} // namespace endivespan
