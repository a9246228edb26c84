#include <endivespan/config.h>
#include <endivespan/host_roster.h>
#include <endivespan/mix.h>

#include <algorithm>
#include <utility>

namespace endivespan {

HostRoster::HostRoster(std::uint64_t self)
    : self(self)
    , hosts {self}
{
}

void HostRoster::setHosts(std::vector<std::uint64_t> ids)
{
    ids.push_back(this->self);
    std::sort(ids.begin(), ids.end());
    ids.erase(std::unique(ids.begin(), ids.end()), ids.end());
    if (ids != this->hosts) {
        this->hosts = std::move(ids);
        this->ranks.clear();
    }
}

void HostRoster::join(TimePoint at)
{
    this->joinedAt = at;
}

std::size_t HostRoster::size() const
{
    return this->hosts.size();
}

std::size_t HostRoster::rankFor(std::uint64_t resource) const
{
    if (const auto known = this->ranks.find(resource); known != this->ranks.end()) {
        return known->second;
    }
    const std::uint64_t own = mix(mix(this->self) ^ resource);
    const auto rank = static_cast<std::size_t>(
        std::count_if(this->hosts.begin(), this->hosts.end(), [resource, own](std::uint64_t host) {
            return mix(mix(host) ^ resource) > own;
        }));
    if (this->ranks.size() >= config::MaxServers) {
        this->ranks.clear();
    }
    this->ranks.emplace(resource, rank);
    return rank;
}

std::uint32_t HostRoster::rightsOf(std::uint64_t resource, std::uint32_t rights, TimePoint now) const
{
    if (!this->joinedAt || now < *this->joinedAt) {
        return 0;
    }
    const std::size_t rank = this->rankFor(resource);
    return rank < rights ? static_cast<std::uint32_t>((rights - 1 - rank) / this->hosts.size() + 1) : 0;
}

} // namespace endivespan
