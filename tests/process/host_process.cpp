#include "host_process.h"

#include <endivespan/base64.h>
#include <endivespan/config_codec.h>
#include <endivespan/note.h>

#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <unistd.h>
#include <utility>

namespace endivespan::harness {

namespace {

const std::vector<std::string> Domains {"hame-a", "hame-b", "hame-c"};
const std::string Region = "hame";

std::string settingsText(const Standins &standins, const HostOptions &options)
{
    std::string peers;
    for (const std::string &peer : options.peers) {
        peers += (peers.empty() ? "\"" : ", \"") + peer + "\"";
    }
    std::string text = "host: " + options.name + "\nregion: " + Region + "\nfailure_domain: " + options.domain;
    text += "\nlisten: {callers: \"127.0.0.1:0\", peers: \"" + options.peerAddress + "\"}";
    text += "\nlog: {address: \"" + standins.address("log") + "\"}";
    text += "\nhost_list: {address: \"" + standins.address("hosts") + "\"}";
    text += "\nweight_store: {address: \"" + standins.address("weights") + "\"}";
    text += "\npeers: [" + peers + "]\n";
    return options.limits.empty() ? text : text + "limits: " + options.limits + "\n";
}

} // namespace

ReservedPort::ReservedPort()
    : socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    const int enabled = 1;
    setsockopt(this->socket, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    REQUIRE(bind(this->socket, reinterpret_cast<sockaddr *>(&address), size) == 0);
    REQUIRE(getsockname(this->socket, reinterpret_cast<sockaddr *>(&address), &size) == 0);
    this->text = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

ReservedPort::~ReservedPort()
{
    close(this->socket);
}

HostProcess::HostProcess(const Standins &standins, const HostOptions &options)
{
    const std::string file = this->directory.write("host.yaml", settingsText(standins, options));
    this->child = std::make_unique<Process>(std::vector {builtProgram("packages/node/endivespand"), file});
    const std::string prefix = "listening callers ";
    while (const auto line = this->child->readLine()) {
        if (line->starts_with(prefix)) {
            this->callerAddress = line->substr(prefix.size());
        } else if (*line == "ready") {
            return;
        }
    }
    FAIL(this->child->errorText());
}

json HostProcess::status() const
{
    return call(this->callerAddress, "GET", "/status").parsed();
}

void HostProcess::awaitReady(std::uint64_t revision) const
{
    REQUIRE_MESSAGE(eventually([&] {
                        return call(this->callerAddress, "GET", "/readyz").status == 200
                            && this->status()["revision"].get<std::uint64_t>() >= revision;
                    }),
                    this->child->errorText());
}

HostGroup::HostGroup(const Standins &standins, const std::string &limits)
    : standins(standins)
    , limits(limits)
{
    for (std::size_t i = 0; i < Domains.size(); ++i) {
        this->ports.push_back(std::make_unique<ReservedPort>());
    }
    for (std::size_t i = 0; i < Domains.size(); ++i) {
        this->hosts.push_back(this->startHost(i));
    }
}

std::unique_ptr<HostProcess> HostGroup::startHost(std::size_t index) const
{
    HostOptions options;
    options.name = "entry-" + std::to_string(index + 1);
    options.domain = Domains[index];
    options.peerAddress = this->ports[index]->address();
    options.limits = this->limits;
    for (std::size_t i = 0; i < this->ports.size(); ++i) {
        if (i != index) {
            options.peers.push_back(this->ports[i]->address());
        }
    }
    return std::make_unique<HostProcess>(this->standins, options);
}

void HostGroup::restart(std::size_t index)
{
    this->hosts.at(index).reset();
    this->hosts[index] = this->startHost(index);
}

void HostGroup::awaitReady(std::uint64_t revision) const
{
    for (const auto &host : this->hosts) {
        host->awaitReady(revision);
    }
}

void HostGroup::awaitLoadReports() const
{
    for (const auto &host : this->hosts) {
        REQUIRE(eventually([&] {
            const json servers = host->status()["servers"];
            return std::none_of(servers.begin(), servers.end(), [](const json &server) {
                return server["incarnation"].get<std::string>().empty();
            });
        }));
    }
}

void HostGroup::checkInvariants() const
{
    for (const auto &host : this->hosts) {
        CHECK_MESSAGE(host->status()["invariant_violations"] == 0, host->process().errorText());
    }
}

ReleaseNote deploymentNote(const Standins &standins)
{
    const auto note = parseNote(call(standins.address("control"), "GET", "/note").body, "note.yaml");
    REQUIRE_MESSAGE(note.has_value(), (note ? std::string() : problemTexts(note.error())));
    return note.value();
}

void publish(const Standins &standins, const ReleaseNote &note)
{
    static std::uint64_t sequence = 0;
    const NoteRecord record {{"process-tests", ++sequence}, note};
    const json body {{"records", {toBase64(encodeConfigRecord(record))}}};
    const std::string target = "/streams/" + std::string(ConfigStream) + "/append";
    const CallResult result = call(standins.address("log"), "POST", target, body.dump());
    REQUIRE_MESSAGE(result.status == 200, result.body);
}

std::string keyOf(std::size_t number)
{
    return "key-workshop-" + std::to_string(number);
}

} // namespace endivespan::harness
