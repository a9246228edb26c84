#include "service_cluster.h"

#include <endivespan/base64.h>
#include <endivespan/config_codec.h>
#include <endivespan/prefix.h>

#include <doctest/doctest.h>
#include <fmt/format.h>

namespace endivespan::harness {

namespace {

constexpr std::size_t Servers = 3;
constexpr std::string_view ApiKey = "key-of-puu";

std::string serverName(std::size_t index)
{
    return "verstas-" + std::to_string(index + 1);
}

ReleaseNote firstNote(const Standins &standins)
{
    ReleaseNote note;
    note.author = "tester";
    note.added.organisations.push_back({"puu", {sha256Hex(ApiKey)}, {}, {"verstas"}, {}});
    note.added.domains.push_back({"hame-a", "fi", ServiceState::InService});
    note.added.services.push_back({"verstas", {"/quote"}});
    for (std::size_t i = 0; i < Servers; ++i) {
        BackendServer server;
        server.name = serverName(i);
        server.kind = ServerKind::Plain;
        server.address = standins.address(server.name);
        server.domain = "hame-a";
        server.pool = "verstas";
        note.added.servers.push_back(server);
    }
    return note;
}

} // namespace

ServiceCluster::ServiceCluster(std::size_t count, std::string limits)
    : standins({"--runners", "0", "--order-runners", std::to_string(Servers), "--stores", "0"})
    , limits(std::move(limits))
{
    this->publishNote();
    for (std::size_t i = 0; i < count; ++i) {
        this->addHost();
    }
}

void ServiceCluster::publishNote() const
{
    const std::string record = encodeConfigRecord(NoteRecord {{"tester", 1}, firstNote(this->standins)});
    const json body {{"records", {toBase64(record)}}};
    const CallResult result = call(this->standins.address("log"), "POST", "/streams/config/append", body.dump());
    REQUIRE(result.status == 200);
}

std::string ServiceCluster::settingsOf(std::size_t host) const
{
    std::vector<std::string> others;
    for (std::size_t i = 0; i < host; ++i) {
        others.push_back(this->peerPorts[i]->address());
    }
    return fmt::format("host: entry-{}\n"
                       "region: fi\n"
                       "failure_domain: hame-a\n"
                       "listen: {{callers: \"127.0.0.1:0\", peers: {}}}\n"
                       "peers: [{}]\n"
                       "log: {{address: {}}}\n"
                       "host_list: {{address: {}}}\n"
                       "weight_store: {{address: {}}}\n"
                       "limits: {}\n",
                       host,
                       this->peerPorts.at(host)->address(),
                       fmt::join(others, ", "),
                       this->standins.address("log"),
                       this->standins.address("hosts"),
                       this->standins.address("weights"),
                       this->limits);
}

std::size_t ServiceCluster::addHost()
{
    const std::size_t host = this->hosts.size();
    this->peerPorts.push_back(std::make_unique<ReservedPort>());
    const std::string path = this->files.write(fmt::format("host-{}.yaml", host), this->settingsOf(host));
    this->hosts.push_back(
        std::make_unique<Process>(std::vector<std::string> {builtProgram("packages/node/endivespand"), path}));
    constexpr std::string_view Listening = "listening callers ";
    std::string address;
    while (address.empty()) {
        const auto line = this->hosts.back()->readLine();
        REQUIRE_MESSAGE(line, this->hosts.back()->errorText());
        if (line->starts_with(Listening)) {
            address = line->substr(Listening.size());
        }
    }
    this->addresses.push_back(address);
    REQUIRE(this->callUntil(this->serviceCall(host, "GET", "/status", ""), 200).status == 200);
    return host;
}

HttpCall ServiceCluster::serviceCall(std::size_t host,
                                     const std::string &method,
                                     const std::string &path,
                                     const std::string &body) const
{
    HttpCall wanted;
    wanted.address = this->addresses.at(host);
    wanted.method = method;
    wanted.target = "/services/verstas" + path;
    wanted.headers["Authorization"] = "Bearer " + std::string(ApiKey);
    wanted.body = body;
    wanted.connectTimeout = WaitLimit;
    wanted.silenceTimeout = WaitLimit;
    return wanted;
}

HttpCall ServiceCluster::order(std::size_t host, const std::string &key, const std::string &body) const
{
    HttpCall wanted = this->serviceCall(host, "POST", "/order", body);
    wanted.headers["Idempotency-Key"] = key;
    return wanted;
}

CallResult ServiceCluster::callUntil(const HttpCall &wanted, int status) const
{
    CallResult result;
    eventually([&result, &wanted, status] {
        result = call(wanted);
        return result.status == status;
    });
    return result;
}

std::uint64_t ServiceCluster::runs() const
{
    return this->standins.counts(serverName(0)).value("runs", std::uint64_t {0});
}

bool ServiceCluster::ranTwice() const
{
    return !this->standins.counts(serverName(0)).at("repeated").empty();
}

void ServiceCluster::controlServers(const json &settings) const
{
    for (std::size_t i = 0; i < Servers; ++i) {
        this->standins.control(serverName(i), settings);
    }
}

std::string errorKind(const CallResult &result)
{
    const json body = result.parsed();
    return body.is_object() && body.contains("error") ? body["error"].value("kind", "") : "";
}

std::string runHeader(const CallResult &result)
{
    const auto found = result.headers.find("x-endivespan-run");
    return found == result.headers.end() ? "" : found->second;
}

} // namespace endivespan::harness
