#include <endivespan/confirmation.h>

#include <algorithm>

namespace endivespan {

Confirmation::Confirmation(Duration bound)
    : bound(bound)
{
}

void Confirmation::confirmedByLog(TimePoint askedAt)
{
    this->confirm(askedAt);
}

void Confirmation::heardPeer(const std::string &host,
                             const PeerConfiguration &peer,
                             std::uint64_t covers,
                             TimePoint now)
{
    this->peers[host] = {peer, now};
    std::erase_if(this->peers, [this, now](const auto &entry) { return now - entry.second.at > this->bound; });
    this->moved(covers);
}

// At the time of a peer's confirmation the log held nothing beyond the peer's offset, hence nothing beyond an own
// offset that is as high.
void Confirmation::moved(std::uint64_t covers)
{
    for (const auto &[host, heard] : this->peers) {
        if (heard.peer.confirmedAge && heard.peer.covers <= covers) {
            this->confirm(heard.at - *heard.peer.confirmedAge);
        }
    }
}

void Confirmation::setExpectedHosts(std::size_t hosts)
{
    this->expectedHosts = hosts;
}

std::optional<TimePoint> Confirmation::confirmedAt() const
{
    return this->last;
}

bool Confirmation::isStale(std::uint64_t covers, TimePoint now) const
{
    const bool isFresh = this->last && now - *this->last <= this->bound;
    return !isFresh && !this->isLogDownForAll(covers, now);
}

// A few hosts that are cut off together must not take that for an outage of the log: most of the hosts on the
// platform's list have to agree. A note can be accepted only by the log, and no host that was heard from reaches it.
bool Confirmation::isLogDownForAll(std::uint64_t covers, TimePoint now) const
{
    std::size_t heardHosts = 1;
    for (const auto &[host, heard] : this->peers) {
        if (now - heard.at > this->bound) {
            continue;
        }
        const bool reachesLog = heard.peer.confirmedAge && *heard.peer.confirmedAge <= this->bound;
        if (reachesLog || heard.peer.covers > covers) {
            return false;
        }
        ++heardHosts;
    }
    return heardHosts > 1 && heardHosts * 2 > this->expectedHosts;
}

void Confirmation::confirm(TimePoint at)
{
    this->last = std::max(this->last.value_or(at), at);
}

} // namespace endivespan
