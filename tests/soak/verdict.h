#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// What a soak saw from the callers' side.
namespace endivespan::soak {

/// Counts and findings of one run.
struct Verdict {
    std::map<std::string, std::uint64_t> counts;
    std::vector<std::string> findings; ///< Each one is a broken promise.

    void count(const std::string &name)
    {
        ++this->counts[name];
    }

    void find(const std::string &finding)
    {
        this->findings.push_back(finding);
    }
};

} // namespace endivespan::soak
