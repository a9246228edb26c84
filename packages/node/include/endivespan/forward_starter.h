#pragma once

#include <endivespan/forward_node.h>
#include <endivespan/loop.h>

#include <chrono>
#include <functional>
#include <memory>

namespace endivespan {

/// Starts a node, again and again while a listen address is taken: an earlier process of the host may still be
/// stopping. Each failed try is logged on standard error.
class ForwardStarter
{
public:
    /// @param patience Time after which a try that fails is the last one.
    /// @param gaveUp Called after the last try; the node is not running then.
    ForwardStarter(Loop &loop, ForwardNode &node, std::chrono::milliseconds patience, std::function<void()> gaveUp);

    void start();

    [[nodiscard]] bool isStarted() const;

private:
    Loop &loop;
    ForwardNode &node;
    TimePoint giveUpAt;
    std::function<void()> gaveUp;
    std::unique_ptr<Timer> retry;
    bool started = false;
};

} // namespace endivespan
