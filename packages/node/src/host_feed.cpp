#include "host_feed.h"

#include <endivespan/config.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace endivespan {

namespace {

Result<HostReport> decodeReport(const KeyedRecord &record)
{
    const auto fields = nlohmann::json::parse(*record.value, nullptr, false);
    try {
        HostReport report;
        report.name = record.key;
        report.address = fields.at("address").get<std::string>();
        report.domain = fields.at("domain").get<std::string>();
        report.region = fields.at("region").get<std::string>();
        report.status.version.incarnation = fields.at("incarnation").get<std::uint64_t>();
        return report;
    } catch (const nlohmann::json::exception &problem) {
        return Error {ErrorKind::ProtocolError, problem.what()};
    }
}

} // namespace

HostFeed::HostFeed(Loop &loop,
                   KeyedLog &log,
                   const RecordCodec &codec,
                   EventLog &events,
                   Membership &membership,
                   std::function<void()> onListed)
    : loop(loop)
    , log(log)
    , codec(codec)
    , events(events)
    , membership(membership)
    , onListed(std::move(onListed))
{
}

void HostFeed::start()
{
    this->readFirst();
}

std::optional<std::chrono::nanoseconds> HostFeed::earlierStart() const
{
    return this->listedStart;
}

// Reads the list before this host writes its own report: an entry of this host in it shows that the other hosts already
// count this host.
void HostFeed::readFirst()
{
    this->log.newest(this->codec.hostTopic(), [this](const Result<KeyedBatch> &batch) {
        if (!batch) {
            this->announceTimer = this->loop.after(config::HostAnnouncePause, [this] { this->readFirst(); });
            return;
        }
        const std::string &self = this->membership.self().name;
        for (const KeyedRecord &record : batch.value().records) {
            if (record.key == self && record.value) {
                const auto report = decodeReport(record);
                this->listedStart = std::chrono::nanoseconds(report ? report.value().status.version.incarnation : 0);
            }
            this->take(record);
        }
        this->announce();
    });
}

// Returns whether the list has the report of this process or of a later one of this host.
bool HostFeed::isListedIn(const KeyedBatch &batch) const
{
    const HostReport &self = this->membership.self();
    return std::any_of(batch.records.begin(), batch.records.end(), [&self](const KeyedRecord &record) {
        if (record.key != self.name || !record.value) {
            return false;
        }
        const auto report = decodeReport(record);
        return report && report.value().status.version.incarnation >= self.status.version.incarnation;
    });
}

void HostFeed::announce()
{
    const HostReport &self = this->membership.self();
    const nlohmann::json report {{"address", self.address},
                                 {"domain", self.domain},
                                 {"region", self.region},
                                 {"incarnation", self.status.version.incarnation}};
    this->log.put(this->codec.hostTopic(), self.name, report.dump(), [this](const Result<void> &done) {
        if (!done) {
            this->announceTimer = this->loop.after(config::HostAnnouncePause, [this] { this->announce(); });
        } else {
            // Hosts that started at the same time may not have written their reports yet.
            this->readTimer = this->loop.after(config::HostReadAgain, [this] { this->read(); });
        }
    });
}

void HostFeed::read()
{
    this->log.newest(this->codec.hostTopic(), [this](const Result<KeyedBatch> &batch) {
        if (batch) {
            for (const KeyedRecord &record : batch.value().records) {
                this->take(record);
            }
            if (!this->isListedIn(batch.value())) {
                // The log was restored from a copy that is older than the report.
                this->events.line("host_report_lost", LogRank::Failure).with("era", eraOf(batch.value().end));
                return this->announce();
            }
        }
        this->readTimer = this->loop.after(batch ? Duration(config::HostReadPeriod) : Duration(config::HostReadAgain),
                                           [this] { this->read(); });
        if (batch && !std::exchange(this->isListed, true)) {
            this->onListed();
        }
    });
}

void HostFeed::take(const KeyedRecord &record)
{
    if (!record.value || record.key == this->membership.self().name) {
        return;
    }
    const auto report = decodeReport(record);
    if (!report) {
        this->events.line("host_record_unreadable", LogRank::Failure)
            .with("peer", record.key)
            .with("why", report.error().detail);
        return;
    }
    const HostView *known = this->membership.find(record.key);
    if (known == nullptr || known->report.status.version.incarnation < report.value().status.version.incarnation) {
        this->membership.learn(report.value(), this->loop.now());
        this->events.line("host_listed").with("peer", record.key).with("address", report.value().address);
    }
}

} // namespace endivespan
