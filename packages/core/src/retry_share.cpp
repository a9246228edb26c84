#include <endivespan/config.h>
#include <endivespan/retry_share.h>

#include <algorithm>

namespace endivespan {

RetryShare::RetryShare(RetryBounds bounds)
    : bounds(bounds)
{
}

RetryShare::Slot &RetryShare::slotAt(const std::string &service, TimePoint now)
{
    const std::int64_t number = now.time_since_epoch() / (this->bounds.window / Slots);
    Slot &slot = this->rings[service].at(static_cast<std::size_t>(number) % (Slots + 1));
    if (slot.number != number) {
        slot = Slot {number, 0, 0};
    }
    return slot;
}

void RetryShare::countRequest(const std::string &service, TimePoint now)
{
    ++this->slotAt(service, now).requests;
}

void RetryShare::enableSlackFrom(TimePoint at)
{
    this->slackFrom = at;
}

bool RetryShare::tryTake(const std::string &service, std::size_t hosts, TimePoint now)
{
    Slot &current = this->slotAt(service, now);
    double requests = 0;
    double repeats = 0;
    for (const Slot &slot : this->rings[service]) {
        // Includes one slot more than the window has: the window slides, so the current slot is only partly over.
        if (current.number - slot.number <= static_cast<std::int64_t>(Slots)) {
            requests += slot.requests;
            repeats += slot.repeats;
        }
    }
    const bool hasSlack = this->slackFrom && *this->slackFrom <= now;
    const double share = hasSlack
        ? this->bounds.slack / (config::SpareHostFactor * static_cast<double>(std::max<std::size_t>(hosts, 1)))
        : 0;
    if (repeats + 1 > config::RetryRatioUsed * this->bounds.ratio * requests + share) {
        return false;
    }
    ++current.repeats;
    return true;
}

} // namespace endivespan
