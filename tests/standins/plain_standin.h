#pragma once

#include "cold_gate.h"
#include "run_ledger.h"
#include "standin.h"

namespace endivespan::standins {

/// A plain service such as the order application; it counts how often each idempotency key was run.
class PlainStandIn : public StandIn
{
public:
    /// @param ledger Shared by the servers of one service, so that a second run on another server is found.
    PlainStandIn(Loop &loop, const std::string &name, std::string service, std::shared_ptr<RunLedger> ledger);

    [[nodiscard]] json counts() const override;

protected:
    void handle(const ExchangePtr &exchange) override;
    void dropWork() override;

private:
    void run(const ExchangePtr &exchange);
    std::uint64_t countRun(const HttpRequest &request);

    std::string service;
    std::shared_ptr<RunLedger> ledger;
    ColdGate gate;
    Duration runTime = std::chrono::milliseconds(2);
    std::uint64_t crashBefore = 0; ///< Crashes on so many next requests, before they run.
    std::uint64_t crashAfter = 0; ///< Crashes on so many next requests, after they ran and before the answer.
    std::uint64_t silentNext = 0; ///< Runs so many next requests and never answers them.
    std::uint64_t refuseNext = 0; ///< Refuses so many next requests before any work.
    std::uint64_t running = 0;
    std::uint64_t fellOver = 0;
    std::uint64_t refused = 0;
};

} // namespace endivespan::standins
