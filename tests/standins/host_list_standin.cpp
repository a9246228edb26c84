#include "host_list_standin.h"

namespace endivespan::standins {

HostListStandIn::HostListStandIn(Loop &loop, const std::string &name)
    : StandIn(loop, "hosts", name)
{
    this->setting("lag_ms", this->lag);
    this->action("hosts", [this](const json &states) {
        const auto changes = states.get<std::map<std::string, std::string>>();
        this->later(this->lag, [this, changes] {
            for (const auto &[host, state] : changes) {
                this->hosts[host] = state;
            }
        });
    });
}

void HostListStandIn::addHost(const std::string &host)
{
    this->hosts[host] = "live";
}

json HostListStandIn::counts() const
{
    return {{"reads", this->reads}, {"hosts", this->hosts.size()}};
}

void HostListStandIn::handle(const ExchangePtr &exchange)
{
    if (exchange->request().path != "/hosts") {
        replyJson(exchange, 404, {{"error", "no such path"}});
        return;
    }
    ++this->reads;
    json list = json::array();
    for (const auto &[host, state] : this->hosts) {
        list.push_back({{"name", host}, {"state", state}});
    }
    replyJson(exchange, 200, {{"hosts", list}});
}

void HostListStandIn::dropWork()
{
}

} // namespace endivespan::standins
