#include "cluster.h"

#include <endivespan/base64.h>
#include <endivespan/config_codec.h>

#include <array>
#include <utility>

namespace endivespan::soak {

namespace {

constexpr std::chrono::milliseconds ProbePeriod {200};
constexpr std::chrono::milliseconds PublicationCheck {1500};
constexpr std::array<const char *, 3> Domains {"hame-a", "hame-b", "hame-c"};

} // namespace

Cluster::Cluster(Loop &loop, const ClusterOptions &options)
    : loop(loop)
    , outside(options.standins)
{
    for (std::size_t i = 0; i < options.hosts; ++i) {
        ClusterHost host;
        host.name = "entry-" + std::to_string(i + 1);
        host.domain = Domains.at(i % Domains.size());
        host.peerPort = std::make_unique<harness::ReservedPort>();
        this->hostList.push_back(std::move(host));
    }
}

void Cluster::start()
{
    harness::publish(this->outside, harness::deploymentNote(this->outside));
    for (std::size_t i = 0; i < this->hostList.size(); ++i) {
        this->startHost(i);
    }
    for (ClusterHost &host : this->hostList) {
        host.process->awaitReady(1);
        host.ready = true;
    }
    this->revision = 1;
    this->prober = this->loop.every(ProbePeriod, [this] { this->probeAll(); });
}

void Cluster::startHost(std::size_t index)
{
    ClusterHost &host = this->hostList.at(index);
    harness::HostOptions options;
    options.name = host.name;
    options.domain = host.domain;
    options.peerAddress = host.peerPort->address();
    for (const ClusterHost &other : this->hostList) {
        if (other.name != host.name) {
            options.peers.push_back(other.peerPort->address());
        }
    }
    host.process = std::make_unique<harness::HostProcess>(this->outside, options);
}

std::string Cluster::pickHost(std::mt19937_64 &random) const
{
    std::vector<const ClusterHost *> ready;
    for (const ClusterHost &host : this->hostList) {
        if (host.process && host.ready) {
            ready.push_back(&host);
        }
    }
    return ready.empty() ? std::string() : ready[random() % ready.size()]->process->address();
}

harness::Standins &Cluster::standins()
{
    return this->outside;
}

std::vector<ClusterHost> &Cluster::hosts()
{
    return this->hostList;
}

std::string Cluster::apiKey(std::size_t index)
{
    return harness::keyOf(1 + index);
}

void Cluster::probeAll()
{
    for (ClusterHost &host : this->hostList) {
        this->probe(host);
    }
}

void Cluster::probe(ClusterHost &host)
{
    if (!host.process) {
        host.ready = false;
        host.probe.reset();
        return;
    }
    if (host.probe) {
        return;
    }
    HttpCall call;
    call.address = host.process->address();
    call.target = "/readyz";
    call.silenceTimeout = std::chrono::milliseconds(1000);
    HttpCallbacks callbacks;
    callbacks.onDone = [&host](const HttpAnswer &answer) {
        const auto finished = std::move(host.probe);
        host.ready = answer.status == 200;
    };
    callbacks.onFailure = [&host](const HttpFailure &) {
        const auto finished = std::move(host.probe);
        host.ready = false;
    };
    host.probe = startHttpCall(this->loop, call, std::move(callbacks));
}

void Cluster::publishDomain(const std::string &domain, ServiceState service, std::function<void()> done)
{
    auto publication = std::make_shared<Publication>();
    publication->domain = domain;
    publication->service = service;
    publication->done = std::move(done);
    this->append(publication);
}

void Cluster::append(const std::shared_ptr<Publication> &publication)
{
    ReleaseNote note;
    note.author = "operator";
    note.against = this->revision;
    note.changed.domains.push_back({publication->domain, "hame", publication->service});
    const NoteRecord record {{"soak", ++this->noteSequence}, note};
    HttpCall call;
    call.address = this->outside.address("log");
    call.method = "POST";
    call.target = "/streams/" + std::string(ConfigStream) + "/append";
    call.body = harness::json {{"records", {toBase64(encodeConfigRecord(record))}}}.dump();
    // Whether it was accepted shows in the revisions of the hosts.
    publication->append = startHttpCall(this->loop, call, {});
    publication->check
        = this->loop.after(PublicationCheck, [this, publication] { this->checkPublication(publication); });
}

void Cluster::checkPublication(const std::shared_ptr<Publication> &publication)
{
    const std::uint64_t before = this->revision;
    for (const ClusterHost &host : this->hostList) {
        if (host.process && host.ready) {
            const harness::json status = host.process->status();
            this->revision = std::max(this->revision, status.is_object() ? status.value("revision", before) : before);
        }
    }
    if (this->revision > before) {
        publication->done();
    } else {
        this->append(publication);
    }
    // The timer that runs this function goes with the publication, so its end waits for the next turn.
    this->loop.post([publication] {});
}

} // namespace endivespan::soak
