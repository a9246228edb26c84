#include "yaml_p.h"

#include <endivespan/config.h>
#include <endivespan/names.h>
#include <endivespan/note.h>

#include <limits>
#include <utility>

namespace endivespan {

namespace {

constexpr std::uint32_t MaxWeight = 1000;
constexpr std::uint32_t MaxConcurrency = 100'000;
constexpr std::uint64_t MaxRevision = std::numeric_limits<std::int64_t>::max();

using Names = std::vector<std::pair<std::string_view, ServerKind>>;

const Names KindNames {{"runner", ServerKind::Runner}, {"plain", ServerKind::Plain}, {"store", ServerKind::Store}};

const std::vector<std::pair<std::string_view, Service>> ServiceNames {{"in_service", Service::InService},
                                                                      {"taken_out", Service::TakenOut}};

std::set<std::string> setOf(const std::vector<std::string> &names)
{
    return {names.begin(), names.end()};
}

std::set<std::string> keyDigests(YamlDocument &document, YamlMap &map)
{
    std::set<std::string> digests;
    for (const auto &[text, place] : map.texts("key_sha256")) {
        if (!isSha256Hex(text)) {
            document.report(place,
                            "'" + text + "' is no SHA-256 in lower-case hexadecimal; 'endivespan key' makes one");
        }
        digests.insert(text);
    }
    return digests;
}

Organisation organisationOf(YamlDocument &document, const YAML::Node &node)
{
    YamlMap map(document,
                node,
                "an organisation",
                {"name", "key_sha256", "models", "plain_services", "requests_in_flight", "weight"});
    Organisation organisation;
    organisation.name = map.name("name");
    organisation.keyDigests = keyDigests(document, map);
    organisation.models = setOf(map.names("models"));
    organisation.services = setOf(map.names("plain_services"));
    OrganisationLimits &limits = organisation.limits;
    limits.requestsInFlight
        = static_cast<std::uint32_t>(map.number("requests_in_flight", limits.requestsInFlight, 1, MaxConcurrency));
    limits.weight = static_cast<std::uint32_t>(map.number("weight", limits.weight, 1, MaxWeight));
    return organisation;
}

Model modelOf(YamlDocument &document, const YAML::Node &node)
{
    YamlMap map(document, node, "a model", {"name", "version", "next_version"});
    Model model {map.name("name"), map.name("version"), ""};
    if (map.has("next_version")) {
        model.nextVersion = map.name("next_version");
        if (model.nextVersion == model.version) {
            map.reportAt("next_version", "'next_version' is the version that is in use");
        }
    }
    return model;
}

FailureDomain domainOf(YamlDocument &document, const YAML::Node &node)
{
    YamlMap map(document, node, "a failure domain", {"name", "region", "service"});
    return {map.name("name"), map.name("region"), map.choice("service", Service::InService, ServiceNames)};
}

void readPool(YamlMap &map, BackendServer &server)
{
    if (server.kind == ServerKind::Store) {
        if (map.has("pool")) {
            map.reportAt("pool", "a store host has no 'pool'");
        }
        return;
    }
    server.pool = map.name("pool");
}

BackendServer serverOf(YamlDocument &document, const YAML::Node &node)
{
    YamlMap map(document,
                node,
                "a backend server",
                {"name",
                 "kind",
                 "address",
                 "failure_domain",
                 "pool",
                 "checks_orders",
                 "cold_concurrency",
                 "warm_concurrency",
                 "service"});
    BackendServer server;
    server.name = map.name("name");
    map.require("kind");
    server.kind = map.choice("kind", ServerKind::Runner, KindNames);
    server.address = map.address("address");
    server.domain = map.name("failure_domain");
    readPool(map, server);
    server.checksOrders = map.flag("checks_orders", server.checksOrders);
    server.warmConcurrency
        = static_cast<std::uint32_t>(map.number("warm_concurrency", server.warmConcurrency, 1, MaxConcurrency));
    server.coldConcurrency
        = static_cast<std::uint32_t>(map.number("cold_concurrency", server.coldConcurrency, 1, MaxConcurrency));
    if (server.coldConcurrency > server.warmConcurrency) {
        map.reportAt("cold_concurrency", "'cold_concurrency' is above 'warm_concurrency'");
    }
    server.service = map.choice("service", Service::InService, ServiceNames);
    return server;
}

PlainService plainServiceOf(YamlDocument &document, const YAML::Node &node)
{
    YamlMap map(document, node, "a plain service", {"name", "idempotent_paths"});
    PlainService service;
    service.name = map.name("name");
    for (const auto &[path, place] : map.texts("idempotent_paths")) {
        if (!path.starts_with("/")) {
            document.report(place, "'" + path + "' is no path: it must begin with '/'");
        }
        service.idempotentPaths.insert(path);
    }
    return service;
}

// Names already added, changed or withdrawn by a note, keyed by section.
using SeenNames = std::map<std::string, std::set<std::string>, std::less<>>;

class NoteReader
{
public:
    explicit NoteReader(YamlDocument &document)
        : document(document)
    {
    }

    ReleaseNote read(const YAML::Node &root)
    {
        YamlMap top(this->document, root, "the note", {"author", "against", "added", "changed", "withdrawn"});
        ReleaseNote note;
        note.author = top.text("author");
        if (top.has("author") && (note.author.empty() || note.author.size() > config::MaxAuthorBytes)) {
            top.reportAt("author", "'author' in the note must have 1 to 128 bytes");
        }
        top.require("against");
        note.against = top.number("against", 0, 0, MaxRevision);
        note.added = this->entries(top, "added");
        note.changed = this->entries(top, "changed");
        note.withdrawn = this->withdrawn(top);
        const bool isEmpty
            = note.added == FleetEntries {} && note.changed == FleetEntries {} && note.withdrawn == FleetNames {};
        if (isEmpty && !this->document.hasProblems()) {
            this->document.report(top.mark(), "the note changes nothing");
        }
        return note;
    }

private:
    FleetEntries entries(YamlMap &top, std::string_view key)
    {
        FleetEntries entries;
        const auto node = top.find(key);
        if (!node) {
            return entries;
        }
        YamlMap map(this->document,
                    *node,
                    "'" + std::string(key) + "'",
                    {"organisations", "models", "failure_domains", "backend_servers", "plain_services"});
        this->section(map, "organisations", entries.organisations, organisationOf);
        this->section(map, "models", entries.models, modelOf);
        this->section(map, "failure_domains", entries.domains, domainOf);
        this->section(map, "backend_servers", entries.servers, serverOf);
        this->section(map, "plain_services", entries.services, plainServiceOf);
        return entries;
    }

    template<typename Entry>
    void section(YamlMap &map,
                 std::string_view key,
                 std::vector<Entry> &entries,
                 Entry (*entryOf)(YamlDocument &, const YAML::Node &))
    {
        for (const YAML::Node &node : map.list(key)) {
            entries.push_back(entryOf(this->document, node));
            this->see(key, entries.back().name, node.Mark());
        }
    }

    FleetNames withdrawn(YamlMap &top)
    {
        FleetNames names;
        const auto node = top.find("withdrawn");
        if (!node) {
            return names;
        }
        YamlMap map(this->document,
                    *node,
                    "'withdrawn'",
                    {"organisations", "models", "failure_domains", "backend_servers", "plain_services"});
        names.organisations = this->withdrawnNames(map, "organisations");
        names.models = this->withdrawnNames(map, "models");
        names.domains = this->withdrawnNames(map, "failure_domains");
        names.servers = this->withdrawnNames(map, "backend_servers");
        names.services = this->withdrawnNames(map, "plain_services");
        return names;
    }

    std::vector<std::string> withdrawnNames(YamlMap &map, std::string_view key)
    {
        std::vector<std::string> names = map.names(key);
        for (const std::string &name : names) {
            this->see(key, name, map.find(key)->Mark());
        }
        return names;
    }

    void see(std::string_view section, const std::string &name, const YAML::Mark &place)
    {
        if (!name.empty() && !this->seen[std::string(section)].insert(name).second) {
            this->document.report(place, "'" + name + "' is in " + std::string(section) + " of the note twice");
        }
    }

    YamlDocument &document;
    SeenNames seen;
};

void writeTexts(YAML::Emitter &out, const char *key, const std::set<std::string> &texts)
{
    if (!texts.empty()) {
        out << YAML::Key << key << YAML::Value << YAML::Flow << std::vector<std::string>(texts.begin(), texts.end());
    }
}

void writeNames(YAML::Emitter &out, const char *key, const std::vector<std::string> &names)
{
    if (!names.empty()) {
        out << YAML::Key << key << YAML::Value << YAML::Flow << names;
    }
}

void writeField(YAML::Emitter &out, const char *key, const std::string &value)
{
    out << YAML::Key << key << YAML::Value << value;
}

template<typename Policy>
void writeChoice(YAML::Emitter &out,
                 const char *key,
                 Policy value,
                 const std::vector<std::pair<std::string_view, Policy>> &names)
{
    for (const auto &[name, choice] : names) {
        if (choice == value) {
            writeField(out, key, std::string(name));
        }
    }
}

void write(YAML::Emitter &out, const Organisation &organisation)
{
    writeField(out, "name", organisation.name);
    writeTexts(out, "key_sha256", organisation.keyDigests);
    writeTexts(out, "models", organisation.models);
    writeTexts(out, "plain_services", organisation.services);
    out << YAML::Key << "requests_in_flight" << YAML::Value << organisation.limits.requestsInFlight;
    out << YAML::Key << "weight" << YAML::Value << organisation.limits.weight;
}

void write(YAML::Emitter &out, const Model &model)
{
    writeField(out, "name", model.name);
    writeField(out, "version", model.version);
    if (!model.nextVersion.empty()) {
        writeField(out, "next_version", model.nextVersion);
    }
}

void write(YAML::Emitter &out, const FailureDomain &domain)
{
    writeField(out, "name", domain.name);
    writeField(out, "region", domain.region);
    writeChoice(out, "service", domain.service, ServiceNames);
}

void write(YAML::Emitter &out, const BackendServer &server)
{
    writeField(out, "name", server.name);
    writeChoice(out, "kind", server.kind, KindNames);
    writeField(out, "address", server.address);
    writeField(out, "failure_domain", server.domain);
    if (!server.pool.empty()) {
        writeField(out, "pool", server.pool);
    }
    out << YAML::Key << "checks_orders" << YAML::Value << server.checksOrders;
    out << YAML::Key << "cold_concurrency" << YAML::Value << server.coldConcurrency;
    out << YAML::Key << "warm_concurrency" << YAML::Value << server.warmConcurrency;
    writeChoice(out, "service", server.service, ServiceNames);
}

void write(YAML::Emitter &out, const PlainService &service)
{
    writeField(out, "name", service.name);
    writeTexts(out, "idempotent_paths", service.idempotentPaths);
}

template<typename Entry>
void writeSection(YAML::Emitter &out, const char *key, const std::vector<Entry> &entries)
{
    if (entries.empty()) {
        return;
    }
    out << YAML::Key << key << YAML::Value << YAML::BeginSeq;
    for (const Entry &entry : entries) {
        out << YAML::BeginMap;
        write(out, entry);
        out << YAML::EndMap;
    }
    out << YAML::EndSeq;
}

void writeEntries(YAML::Emitter &out, const char *key, const FleetEntries &entries)
{
    if (entries == FleetEntries {}) {
        return;
    }
    out << YAML::Key << key << YAML::Value << YAML::BeginMap;
    writeSection(out, "organisations", entries.organisations);
    writeSection(out, "models", entries.models);
    writeSection(out, "failure_domains", entries.domains);
    writeSection(out, "backend_servers", entries.servers);
    writeSection(out, "plain_services", entries.services);
    out << YAML::EndMap;
}

void writeWithdrawn(YAML::Emitter &out, const FleetNames &names)
{
    if (names == FleetNames {}) {
        return;
    }
    out << YAML::Key << "withdrawn" << YAML::Value << YAML::BeginMap;
    writeNames(out, "organisations", names.organisations);
    writeNames(out, "models", names.models);
    writeNames(out, "failure_domains", names.domains);
    writeNames(out, "backend_servers", names.servers);
    writeNames(out, "plain_services", names.services);
    out << YAML::EndMap;
}

} // namespace

Checked<ReleaseNote> parseNote(std::string_view yaml, const std::string &file)
{
    YamlDocument document(yaml, file);
    ReleaseNote note;
    if (document.root()) {
        note = NoteReader(document).read(*document.root());
    }
    if (document.hasProblems()) {
        return document.problems();
    }
    return note;
}

std::string noteToYaml(const ReleaseNote &note)
{
    YAML::Emitter out;
    out << YAML::BeginMap;
    writeField(out, "author", note.author);
    out << YAML::Key << "against" << YAML::Value << note.against;
    writeEntries(out, "added", note.added);
    writeEntries(out, "changed", note.changed);
    writeWithdrawn(out, note.withdrawn);
    out << YAML::EndMap;
    return std::string(out.c_str()) + "\n";
}

} // namespace endivespan
