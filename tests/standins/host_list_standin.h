#pragma once

#include "standin.h"

#include <deque>

namespace endivespan::standins {

/// The platform's list of live and leaving hosts; changes show after a lag.
class HostListStandIn : public StandIn
{
public:
    HostListStandIn(Loop &loop, const std::string &name);

    /// Adds a host that shows at once.
    void addHost(const std::string &host);

    [[nodiscard]] json counts() const override;

protected:
    void handle(const ExchangePtr &exchange) override;
    void dropWork() override;

private:
    std::map<std::string, std::string> hosts; ///< State as shown, by name.
    Duration lag = std::chrono::milliseconds(500);
    std::uint64_t reads = 0;
};

} // namespace endivespan::standins
