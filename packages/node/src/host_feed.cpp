#include "host_feed.h"

#include <endivespan/config.h>

#include <nlohmann/json.hpp>

namespace endivespan {

HostFeed::HostFeed(Loop &loop, KeyedLog &log, const RecordCodec &codec, EventLog &events, Membership &membership)
    : loop(loop)
    , log(log)
    , codec(codec)
    , events(events)
    , membership(membership)
{
}

void HostFeed::start()
{
    this->announce();
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
            this->read();
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
        }
        // Once more soon after the start, for those that start with this host; later ones make themselves known.
        const auto pause = this->isListed ? Duration(config::HostReadPeriod) : Duration(config::HostReadAgain);
        this->isListed = this->isListed || batch.has_value();
        this->readTimer = this->loop.after(pause, [this] { this->read(); });
    });
}

void HostFeed::take(const KeyedRecord &record)
{
    if (!record.value || record.key == this->membership.self().name) {
        return;
    }
    const auto fields = nlohmann::json::parse(*record.value, nullptr, false);
    try {
        HostReport report;
        report.name = record.key;
        report.address = fields.at("address").get<std::string>();
        report.domain = fields.at("domain").get<std::string>();
        report.region = fields.at("region").get<std::string>();
        report.status.version.incarnation = fields.at("incarnation").get<std::uint64_t>();
        const HostView *known = this->membership.find(record.key);
        if (known == nullptr || known->report.status.version.incarnation < report.status.version.incarnation) {
            this->membership.learn(report, this->loop.now());
            this->events.line("host_listed").with("peer", record.key).with("address", report.address);
        }
    } catch (const nlohmann::json::exception &problem) {
        this->events.line("host_record_unreadable", LogRank::Failure)
            .with("peer", record.key)
            .with("why", problem.what());
    }
}

} // namespace endivespan
