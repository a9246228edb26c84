#include <endivespan/config.h>
#include <endivespan/names.h>
#include <endivespan/note_check.h>

#include <algorithm>
#include <map>
#include <set>

namespace endivespan {

namespace {

constexpr std::uint32_t MaxWeight = 1000;
constexpr std::uint32_t MaxRequestsInFlight = 100'000;
constexpr std::uint32_t MaxServerConcurrency = 100'000;

std::string quoted(std::string_view name)
{
    return "'" + std::string(name) + "'";
}

template<typename Entry>
void append(std::vector<Entry> &entries, const std::vector<Entry> &more)
{
    entries.insert(entries.end(), more.begin(), more.end());
}

// The texts of the faults become part of the state that hosts compare by digest (NoteOutcome::reason): hosts of
// different builds must produce the same bytes, so the texts and the order of the checks must not change.
class NoteCheck
{
public:
    NoteCheck(const FleetTable &table, const ReleaseNote &note)
        : table(table)
        , fleet(table.fleet())
        , note(note)
        , entries(note.added)
    {
        append(this->entries.organisations, note.changed.organisations);
        append(this->entries.models, note.changed.models);
        append(this->entries.domains, note.changed.domains);
        append(this->entries.servers, note.changed.servers);
        append(this->entries.services, note.changed.services);
    }

    std::vector<std::string> run()
    {
        this->checkContentAndAuthor();
        this->touchedOrganisations = this->checkSection(
            "organisation", this->entries.organisations, this->note.withdrawn.organisations, this->fleet.organisations);
        this->checkSection("model", this->entries.models, this->note.withdrawn.models, this->fleet.models);
        this->checkSection("failure domain", this->entries.domains, this->note.withdrawn.domains, this->fleet.domains);
        this->touchedServers = this->checkSection(
            "backend server", this->entries.servers, this->note.withdrawn.servers, this->fleet.servers);
        this->checkSection(
            "plain service", this->entries.services, this->note.withdrawn.services, this->fleet.services);
        this->checkPresence("organisation", &FleetEntries::organisations, this->fleet.organisations);
        this->checkPresence("model", &FleetEntries::models, this->fleet.models);
        this->checkPresence("failure domain", &FleetEntries::domains, this->fleet.domains);
        this->checkPresence("backend server", &FleetEntries::servers, this->fleet.servers);
        this->checkPresence("plain service", &FleetEntries::services, this->fleet.services);
        this->checkSizes();
        for (const Organisation &organisation : this->entries.organisations) {
            this->checkOrganisation(organisation);
        }
        for (const Model &model : this->entries.models) {
            this->checkModel(model);
        }
        for (const FailureDomain &domain : this->entries.domains) {
            this->require(isName(domain.region), "failure domain " + quoted(domain.name) + " needs a region");
        }
        for (const BackendServer &server : this->entries.servers) {
            this->checkServer(server);
        }
        for (const PlainService &service : this->entries.services) {
            this->checkService(service);
        }
        this->checkKeys();
        this->checkAddresses();
        this->checkReferences();
        return std::move(this->faults);
    }

private:
    void require(bool holds, std::string fault)
    {
        if (!holds) {
            this->faults.push_back(std::move(fault));
        }
    }

    void checkContentAndAuthor()
    {
        const bool empty = this->entries == FleetEntries {} && this->note.withdrawn == FleetNames {};
        this->require(!empty, "the note changes nothing");
        this->require(!this->note.author.empty() && this->note.author.size() <= config::MaxAuthorBytes,
                      "the note needs an author of 1 to 128 bytes");
    }

    // Checks the names in one section of the note. Returns all that it adds, changes or withdraws.
    template<typename Entry>
    std::set<std::string_view> checkSection(const std::string &what,
                                            const std::vector<Entry> &entries,
                                            const std::vector<std::string> &withdrawn,
                                            const std::map<std::string, Entry> &inForce)
    {
        std::set<std::string_view> seen;
        for (const Entry &entry : entries) {
            this->require(isName(entry.name), what + " " + quoted(entry.name) + " has no valid name");
            this->require(seen.insert(entry.name).second, what + " " + quoted(entry.name) + " is in the note twice");
        }
        for (const std::string &name : withdrawn) {
            this->require(inForce.contains(name), what + " " + quoted(name) + " is withdrawn but unknown");
            this->require(seen.insert(name).second, what + " " + quoted(name) + " is in the note twice");
        }
        return seen;
    }

    template<typename Entry>
    void checkPresence(const std::string &what,
                       std::vector<Entry> FleetEntries::*list,
                       const std::map<std::string, Entry> &inForce)
    {
        for (const Entry &entry : this->note.added.*list) {
            this->require(!inForce.contains(entry.name), what + " " + quoted(entry.name) + " is added but in force");
        }
        for (const Entry &entry : this->note.changed.*list) {
            this->require(inForce.contains(entry.name), what + " " + quoted(entry.name) + " is changed but unknown");
        }
    }

    template<typename Entry>
    void checkSize(const std::string &what,
                   const std::vector<Entry> &entries,
                   const std::vector<std::string> &withdrawn,
                   const std::map<std::string, Entry> &inForce,
                   std::size_t most)
    {
        const auto isNew = [&inForce](const Entry &entry) { return !inForce.contains(entry.name); };
        const auto added = static_cast<std::size_t>(std::count_if(entries.begin(), entries.end(), isNew));
        this->require(inForce.size() + added <= most + withdrawn.size(),
                      "more than " + std::to_string(most) + " " + what + " would be in force");
    }

    void checkSizes()
    {
        this->checkSize("organisations",
                        this->entries.organisations,
                        this->note.withdrawn.organisations,
                        this->fleet.organisations,
                        config::MaxOrganisations);
        this->checkSize(
            "models", this->entries.models, this->note.withdrawn.models, this->fleet.models, config::MaxModels);
        this->checkSize("failure domains",
                        this->entries.domains,
                        this->note.withdrawn.domains,
                        this->fleet.domains,
                        config::MaxDomains);
        this->checkSize("backend servers",
                        this->entries.servers,
                        this->note.withdrawn.servers,
                        this->fleet.servers,
                        config::MaxServers);
        this->checkSize("plain services",
                        this->entries.services,
                        this->note.withdrawn.services,
                        this->fleet.services,
                        config::MaxServices);
    }

    void checkOrganisation(const Organisation &organisation)
    {
        const std::string what = "organisation " + quoted(organisation.name);
        const OrganisationLimits &limits = organisation.limits;
        this->require(organisation.keyDigests.size() <= config::MaxKeysPerOrganisation,
                      what + " has more than " + std::to_string(config::MaxKeysPerOrganisation) + " keys");
        this->require(limits.weight >= 1 && limits.weight <= MaxWeight, what + " needs a weight from 1 to 1000");
        this->require(limits.requestsInFlight >= 1 && limits.requestsInFlight <= MaxRequestsInFlight,
                      what + " needs from 1 to 100000 requests in flight");
        for (const std::string &digest : organisation.keyDigests) {
            this->require(isSha256Hex(digest),
                          what + " has a key digest that is not SHA-256 in lower-case hexadecimal");
        }
    }

    void checkModel(const Model &model)
    {
        const std::string what = "model " + quoted(model.name);
        this->require(isName(model.version), what + " needs a version");
        this->require(model.nextVersion.empty() || isName(model.nextVersion), what + " has no valid next version");
        this->require(model.nextVersion != model.version, what + " names its version as the next one");
    }

    void checkServer(const BackendServer &server)
    {
        const std::string what = "backend server " + quoted(server.name);
        this->require(isAddress(server.address), what + " has no valid address");
        this->require(server.kind != ServerKind::Store || server.pool.empty(), what + " is a store and has a pool");
        this->require(server.coldConcurrency >= 1 && server.coldConcurrency <= server.warmConcurrency
                          && server.warmConcurrency <= MaxServerConcurrency,
                      what + " needs a cold concurrency of at least 1 and at most the warm one");
    }

    void checkService(const PlainService &service)
    {
        const auto isPath = [](const std::string &path) { return path.starts_with("/"); };
        this->require(std::all_of(service.idempotentPaths.begin(), service.idempotentPaths.end(), isPath),
                      "plain service " + quoted(service.name) + " has an idempotent path that does not begin with '/'");
    }

    // An API key must belong to one organisation only.
    void checkKeys()
    {
        std::map<std::string, std::string> owners;
        for (const Organisation &organisation : this->entries.organisations) {
            for (const std::string &digest : organisation.keyDigests) {
                const auto [owner, added] = owners.emplace(digest, organisation.name);
                this->require(added,
                              "a key of " + quoted(organisation.name) + " is also a key of " + quoted(owner->second));
                const Organisation *holder = this->table.organisationOfKey(digest);
                const bool isFree = holder == nullptr || this->touchedOrganisations.contains(holder->name);
                this->require(isFree,
                              "a key of " + quoted(organisation.name) + " is also a key of "
                                  + quoted(isFree ? "" : holder->name));
            }
        }
    }

    void checkAddresses()
    {
        std::map<std::string, std::string> owners;
        for (const BackendServer &server : this->entries.servers) {
            const auto [owner, added] = owners.emplace(server.address, server.name);
            this->require(added, quoted(server.name) + " has the address of " + quoted(owner->second));
            const std::string_view holder = this->table.serverAt(server.address);
            const bool isFree = holder.empty() || this->touchedServers.contains(holder);
            this->require(isFree, quoted(server.name) + " has the address of " + quoted(holder));
        }
    }

    [[nodiscard]] bool existsAfter(const Reference &reference) const
    {
        const auto &[kind, name] = reference;
        switch (kind) {
        case ReferenceKind::Model:
            return this->existsAfter(this->entries.models, this->note.withdrawn.models, this->fleet.models, name);
        case ReferenceKind::Service:
            return this->existsAfter(this->entries.services, this->note.withdrawn.services, this->fleet.services, name);
        case ReferenceKind::Domain:
            break;
        }
        return this->existsAfter(this->entries.domains, this->note.withdrawn.domains, this->fleet.domains, name);
    }

    template<typename Entry>
    [[nodiscard]] bool existsAfter(const std::vector<Entry> &entries,
                                   const std::vector<std::string> &withdrawn,
                                   const std::map<std::string, Entry> &inForce,
                                   const std::string &name) const
    {
        const auto isNamed = [&name](const Entry &entry) { return entry.name == name; };
        const bool isWithdrawn = std::find(withdrawn.begin(), withdrawn.end(), name) != withdrawn.end();
        return std::any_of(entries.begin(), entries.end(), isNamed) || (inForce.contains(name) && !isWithdrawn);
    }

    static std::string nameOf(const Reference &reference)
    {
        const auto &[kind, name] = reference;
        switch (kind) {
        case ReferenceKind::Model:
            return "model " + quoted(name);
        case ReferenceKind::Service:
            return "plain service " + quoted(name);
        case ReferenceKind::Domain:
            break;
        }
        return "failure domain " + quoted(name);
    }

    template<typename Entry>
    void addReferences(const std::string &what,
                       const std::vector<Entry> &entries,
                       const std::map<std::string, Entry> &inForce)
    {
        for (const Entry &entry : entries) {
            for (const Reference &reference : referencesOf(entry)) {
                ++this->useChanges[reference];
                this->require(this->existsAfter(reference),
                              what + " " + quoted(entry.name) + " refers to unknown " + nameOf(reference));
            }
            this->subtractReferencesInForce(entry.name, inForce);
        }
    }

    template<typename Entry>
    void subtractReferencesInForce(const std::string &name, const std::map<std::string, Entry> &inForce)
    {
        if (const auto entry = inForce.find(name); entry != inForce.end()) {
            for (const Reference &reference : referencesOf(entry->second)) {
                --this->useChanges[reference];
            }
        }
    }

    void checkUnused(ReferenceKind kind, const std::vector<std::string> &withdrawn)
    {
        for (const std::string &name : withdrawn) {
            const Reference reference(kind, name);
            const std::int64_t uses
                = static_cast<std::int64_t>(this->table.useCount(reference)) + this->useChanges[reference];
            this->require(uses <= 0,
                          nameOf(reference) + " is withdrawn but used by " + std::to_string(uses) + " others");
        }
    }

    void checkReferences()
    {
        this->addReferences("organisation", this->entries.organisations, this->fleet.organisations);
        this->addReferences("backend server", this->entries.servers, this->fleet.servers);
        for (const std::string &name : this->note.withdrawn.organisations) {
            this->subtractReferencesInForce(name, this->fleet.organisations);
        }
        for (const std::string &name : this->note.withdrawn.servers) {
            this->subtractReferencesInForce(name, this->fleet.servers);
        }
        this->checkUnused(ReferenceKind::Model, this->note.withdrawn.models);
        this->checkUnused(ReferenceKind::Service, this->note.withdrawn.services);
        this->checkUnused(ReferenceKind::Domain, this->note.withdrawn.domains);
    }

    const FleetTable &table;
    const Fleet &fleet;
    const ReleaseNote &note;
    FleetEntries entries; ///< Added and changed by the note.
    std::set<std::string_view> touchedOrganisations;
    std::set<std::string_view> touchedServers;
    std::map<Reference, std::int64_t> useChanges; ///< By how much the note changes the number of uses.
    std::vector<std::string> faults;
};

} // namespace

std::vector<std::string> checkNote(const FleetTable &table, const ReleaseNote &note)
{
    return NoteCheck(table, note).run();
}

} // namespace endivespan
