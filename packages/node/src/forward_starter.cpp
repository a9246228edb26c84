#include <endivespan/config.h>
#include <endivespan/forward_starter.h>
#include <endivespan/log.h>

#include <utility>

namespace endivespan {

ForwardStarter::ForwardStarter(Loop &loop,
                               ForwardNode &node,
                               std::chrono::milliseconds patience,
                               std::function<void()> gaveUp)
    : loop(loop)
    , node(node)
    , giveUpAt(loop.now() + patience)
    , gaveUp(std::move(gaveUp))
{
}

void ForwardStarter::start()
{
    const auto result = this->node.start();
    this->started = result.has_value();
    if (this->started) {
        return;
    }
    if (this->loop.now() >= this->giveUpAt) {
        logLine("node", "cannot start: {}", result.error().detail);
        this->gaveUp();
        return;
    }
    logLine("node", "not started yet: {}", result.error().detail);
    this->retry = this->loop.after(config::StartRetryPause, [this] { this->start(); });
}

bool ForwardStarter::isStarted() const
{
    return this->started;
}

} // namespace endivespan
