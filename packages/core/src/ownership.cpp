#include <endivespan/config.h>
#include <endivespan/ownership.h>

#include <openssl/sha.h>

#include <algorithm>
#include <array>
#include <utility>

namespace endivespan {

std::uint64_t rendezvousWeight(std::string_view host, std::string_view resource)
{
    std::string text(host);
    text += '\n';
    text += resource;
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest;
    SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest.data());
    std::uint64_t weight = 0;
    for (std::size_t i = 0; i < sizeof(weight); ++i) {
        weight = (weight << 8U) | digest.at(i);
    }
    return weight;
}

std::string proposedOwner(const std::set<std::string> &hosts, std::string_view resource)
{
    std::pair<std::uint64_t, std::string> best;
    for (const std::string &host : hosts) {
        best = std::max(best, std::pair(rendezvousWeight(host, resource), host));
    }
    return best.second;
}

std::set<std::string> owningHosts(const std::set<std::string> &live)
{
    std::vector<std::pair<std::uint64_t, std::string>> ranked;
    ranked.reserve(live.size());
    for (const std::string &host : live) {
        ranked.emplace_back(rendezvousWeight(host, "owners"), host);
    }
    std::sort(ranked.rbegin(), ranked.rend());
    std::set<std::string> chosen;
    for (std::size_t i = 0; i < std::min(ranked.size(), config::MaxOwningHosts); ++i) {
        chosen.insert(ranked[i].second);
    }
    return chosen;
}

std::set<std::string>
proposedResources(const std::string &self, const std::set<std::string> &live, const std::set<std::string> &resources)
{
    const std::set<std::string> owners = owningHosts(live);
    std::set<std::string> mine;
    if (!owners.contains(self)) {
        return mine;
    }
    for (const std::string &resource : resources) {
        if (proposedOwner(owners, resource) == self) {
            mine.insert(resource);
        }
    }
    return mine;
}

std::string serverResource(std::string_view server)
{
    return "server/" + std::string(server);
}

} // namespace endivespan
