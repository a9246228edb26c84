#include <endivespan/config.h>
#include <endivespan/forward.h>

namespace endivespan {

ForwardLimits::ForwardLimits()
    : maxHeaderBytes(config::MaxHeaderBytes)
    , maxBodyBytes(config::MaxBodyBytes)
    , headerTimeout(config::CallerReadTimeout)
    , idleTimeout(config::CallerIdleTimeout)
{
}

const ForwardRoute *ForwardConfig::route(std::string_view host, std::string_view path) const
{
    const ForwardRoute *best = nullptr;
    for (const ForwardRoute &candidate : this->routes) {
        if (candidate.host == host && path.starts_with(candidate.pathPrefix)
            && (best == nullptr || candidate.pathPrefix.size() > best->pathPrefix.size())) {
            best = &candidate;
        }
    }
    return best;
}

const ForwardOrganisation *ForwardConfig::organisationOfKey(const std::string &key) const
{
    const auto found = this->keys.find(key);
    return found == this->keys.end() ? nullptr : &this->organisations.at(found->second);
}

const ForwardService *ForwardConfig::service(const std::string &name) const
{
    const auto found = this->services.find(name);
    return found == this->services.end() ? nullptr : &found->second;
}

const std::string &chooseTarget(const ForwardRoute &route, std::uint64_t random)
{
    double total = 0;
    for (const ForwardTarget &target : route.targets) {
        total += target.weight;
    }
    constexpr std::uint64_t Steps = 1'000'000;
    double place = total * static_cast<double>(random % Steps) / Steps;
    for (const ForwardTarget &target : route.targets) {
        if (place < target.weight) {
            return target.service;
        }
        place -= target.weight;
    }
    return route.targets.back().service;
}

} // namespace endivespan
