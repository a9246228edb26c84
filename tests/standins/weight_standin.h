#pragma once

#include "standin.h"

namespace endivespan::standins {

/// The weight store: lists versions, and hands out weights more slowly when many load at once.
class WeightStandIn : public StandIn
{
public:
    WeightStandIn(Loop &loop, const std::string &name);

    /// Adds one weight version.
    void addVersion(const std::string &model, const std::string &version);

    [[nodiscard]] json counts() const override;

protected:
    void handle(const ExchangePtr &exchange) override;
    void dropWork() override;

private:
    void sendWeights(const ExchangePtr &exchange);

    std::map<std::string, std::uint64_t> bytesByPath; ///< By "model/version".
    Duration loadTime = std::chrono::milliseconds(1000);
    std::uint64_t freeLoads = 3; ///< So many load at once without slowing each other.
    std::uint64_t loading = 0;
    std::uint64_t mostLoading = 0;
    std::uint64_t loads = 0;
};

} // namespace endivespan::standins
