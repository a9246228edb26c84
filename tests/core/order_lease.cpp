#include <endivespan/log_position.h>
#include <endivespan/order_lease.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <optional>
#include <random>
#include <rapidcheck.h>
#include <string>
#include <vector>

using namespace endivespan;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start {std::chrono::hours(1)};

/// Simulates four hosts that use one order lease, with lost answers and hosts that stand still, and asserts that two
/// holders never follow each other within the gap and that fences never decrease.
struct OrderLeaseSimulation {
    struct Call {
        std::size_t host;
        bool isAppend;
        std::uint64_t at;
        std::string record;
        TimePoint sentAt;
        TimePoint done;
        bool lost;
    };

    /// @param withRestores The log is restored from older copies meanwhile, and hosts start anew.
    OrderLeaseSimulation(std::uint32_t seed, bool withRestores)
        : random(seed)
        , restores(withRestores)
        , era(withRestores ? 1 : 0)
    {
        this->hosts.reserve(this->calling.size());
        for (std::size_t i = 0; i < this->calling.size(); ++i) {
            this->hosts.emplace_back("h" + std::to_string(i), Times);
        }
    }

    void run()
    {
        for (TimePoint now = Start; now < Start + (this->restores ? 120s : 60s); now += 20ms) {
            if (this->restores && this->random() % 400 == 0) {
                this->log.resize(this->log.size() - std::min<std::size_t>(this->random() % 20, this->log.size()));
                ++this->era;
            }
            this->handleCalls(now);
            for (std::size_t i = 0; i < this->hosts.size(); ++i) {
                this->advanceHost(i, now);
            }
        }
        RC_ASSERT(this->lastFence > 0);
    }

    /// The log handles each call at its due time, but not before its host is running again if that is frozen.
    void handleCalls(TimePoint now)
    {
        for (std::size_t i = 0; i < this->calls.size();) {
            Call call = this->calls[i];
            if (call.done > now || this->frozenUntil[call.host] > now) {
                ++i;
                continue;
            }
            this->calls.erase(this->calls.begin() + static_cast<std::ptrdiff_t>(i));
            this->calling[call.host] = false;
            this->handle(call, now);
        }
    }

    void handle(const Call &call, TimePoint now)
    {
        OrderLease &host = this->hosts[call.host];
        bool applied = false;
        if (call.isAppend && offsetOf(call.at) == this->log.size()) {
            this->log.push_back(call.record);
            applied = eraOf(call.at) == this->era;
        }
        if (call.lost) {
            host.onNoAnswer();
            return;
        }
        host.onEra(this->era, now);
        if (!call.isAppend) {
            host.onRead(this->log.empty() ? "" : this->log.back(), logPosition(this->era, this->log.size()), now);
        } else if (applied) {
            host.appended(logPosition(this->era, this->log.size() - 1), call.sentAt);
        } else {
            host.onRefused();
        }
    }

    void advanceHost(std::size_t index, TimePoint now)
    {
        OrderLease &host = this->hosts[index];
        if (this->restores && this->random() % 1000 == 0 && !this->calling[index]) {
            host = OrderLease("h" + std::to_string(index) + "#" + std::to_string(++this->restarts), Times);
            host.onEra(this->era, now);
        }
        if (this->random() % 600 == 0) {
            this->frozenUntil[index] = now + std::chrono::milliseconds(this->random() % 6000);
        }
        if (this->frozenUntil[index] > now) {
            return;
        }
        if (const auto fence = host.fence(now)) {
            this->sendOrder(index, *fence, now);
        }
        const OrderLeaseStep step = host.next(now);
        if (!this->calling[index] && (step == OrderLeaseStep::Read || step == OrderLeaseStep::Append)) {
            this->calling[index] = true;
            this->calls.push_back({index,
                                   step == OrderLeaseStep::Append,
                                   host.end(),
                                   host.record(),
                                   now,
                                   now + std::chrono::milliseconds(this->random() % 300),
                                   this->random() % 10 == 0});
        }
    }

    void sendOrder(std::size_t index, std::uint64_t fence, TimePoint now)
    {
        RC_ASSERT(fence >= this->lastFence);
        if (this->lastOrder && this->lastOrder->first != index) {
            RC_ASSERT(now - this->lastOrder->second >= 3000ms);
        }
        this->lastFence = fence;
        this->lastOrder = {index, now};
    }

    static constexpr OrderLeaseTimes Times {1200ms, 3200ms};
    std::mt19937 random;
    bool restores;
    std::vector<OrderLease> hosts;
    std::vector<bool> calling = std::vector<bool>(4, false);
    std::vector<TimePoint> frozenUntil = std::vector<TimePoint>(4);
    std::vector<std::string> log;
    std::uint64_t era;
    int restarts = 0;
    std::vector<Call> calls;
    std::optional<std::pair<std::size_t, TimePoint>> lastOrder;
    std::uint64_t lastFence = 0;
};

} // namespace

TEST_CASE("order lease: holders never overlap nor follow each other within the gap, and fences never decrease")
{
    CHECK(rc::check([](std::uint32_t seed) { OrderLeaseSimulation(seed, false).run(); }));
}

TEST_CASE("order lease: holders keep the gap and fences never decrease when the log is restored from an older copy")
{
    CHECK(rc::check([](std::uint32_t seed) { OrderLeaseSimulation(seed, true).run(); }));
}
