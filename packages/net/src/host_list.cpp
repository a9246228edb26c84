#include "json_call_p.h"

#include <endivespan/host_list.h>

#include <utility>

namespace endivespan {

namespace {

using nlohmann::json;

PlatformState stateOf(const std::string &text)
{
    if (text == "live") {
        return PlatformState::Live;
    }
    return text == "leaving" ? PlatformState::Leaving : PlatformState::Gone;
}

std::vector<PlatformHost> parseHosts(const json &body)
{
    std::vector<PlatformHost> hosts;
    for (const json &entry : body.at("hosts")) {
        hosts.push_back({entry.at("name").get<std::string>(), stateOf(entry.at("state").get<std::string>())});
    }
    return hosts;
}

class HttpHostListSource : public HostListSource
{
public:
    HttpHostListSource(Loop &loop, std::string address)
        : address(std::move(address))
        , calls(loop)
    {
    }

    void read(std::function<void(Result<std::vector<PlatformHost>>)> done) override
    {
        askJson(this->calls, this->address, "GET", "/hosts", {}, [done = std::move(done)](const Result<json> &body) {
            passParsed(body, &parseHosts, done);
        });
    }

private:
    std::string address;
    CallGroup calls;
};

} // namespace

std::unique_ptr<HostListSource> HostListSource::create(Loop &loop, const std::string &address)
{
    return std::make_unique<HttpHostListSource>(loop, address);
}

} // namespace endivespan
