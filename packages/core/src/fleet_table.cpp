#include <endivespan/fleet_table.h>

namespace endivespan {

namespace {

void addAll(CanonicalEncoder &bytes, const std::set<std::string> &texts)
{
    bytes.add(texts.size());
    for (const std::string &text : texts) {
        bytes.add(text);
    }
}

Digest digestOf(const Organisation &organisation)
{
    CanonicalEncoder bytes;
    bytes.add("organisation").add(organisation.name);
    addAll(bytes, organisation.keyDigests);
    addAll(bytes, organisation.models);
    addAll(bytes, organisation.services);
    bytes.add(organisation.limits.requestsInFlight).add(organisation.limits.weight);
    return sha256(bytes.bytes());
}

Digest digestOf(const Model &model)
{
    CanonicalEncoder bytes;
    bytes.add("model").add(model.name).add(model.version).add(model.nextVersion);
    return sha256(bytes.bytes());
}

Digest digestOf(const FailureDomain &domain)
{
    CanonicalEncoder bytes;
    bytes.add("domain").add(domain.name).add(domain.region);
    bytes.add(static_cast<std::uint64_t>(domain.service));
    return sha256(bytes.bytes());
}

Digest digestOf(const BackendServer &server)
{
    CanonicalEncoder bytes;
    bytes.add("server").add(server.name).add(static_cast<std::uint64_t>(server.kind));
    bytes.add(server.address).add(server.domain).add(server.pool);
    bytes.add(server.checksOrders ? 1U : 0U);
    bytes.add(server.coldConcurrency).add(server.warmConcurrency);
    bytes.add(static_cast<std::uint64_t>(server.service));
    return sha256(bytes.bytes());
}

Digest digestOf(const PlainService &service)
{
    CanonicalEncoder bytes;
    bytes.add("service").add(service.name);
    addAll(bytes, service.idempotentPaths);
    return sha256(bytes.bytes());
}

} // namespace

std::vector<Reference> referencesOf(const Organisation &organisation)
{
    std::vector<Reference> references;
    for (const std::string &model : organisation.models) {
        references.emplace_back(ReferenceKind::Model, model);
    }
    for (const std::string &service : organisation.services) {
        references.emplace_back(ReferenceKind::Service, service);
    }
    return references;
}

std::vector<Reference> referencesOf(const BackendServer &server)
{
    std::vector<Reference> references {{ReferenceKind::Domain, server.domain}};
    if (server.kind == ServerKind::Runner) {
        references.emplace_back(ReferenceKind::Model, server.pool);
    } else if (server.kind == ServerKind::Plain) {
        references.emplace_back(ReferenceKind::Service, server.pool);
    }
    return references;
}

const Fleet &FleetTable::fleet() const
{
    return this->current;
}

const Organisation *FleetTable::organisationOfKey(const std::string &keyDigest) const
{
    const auto owner = this->organisationsByKey.find(keyDigest);
    return owner == this->organisationsByKey.end() ? nullptr : &this->current.organisations.at(owner->second);
}

std::string_view FleetTable::serverAt(const std::string &address) const
{
    const auto owner = this->serversByAddress.find(address);
    return owner == this->serversByAddress.end() ? std::string_view() : std::string_view(owner->second);
}

std::uint32_t FleetTable::useCount(const Reference &reference) const
{
    const auto uses = this->useCounts.find(reference);
    return uses == this->useCounts.end() ? 0 : uses->second;
}

Digest FleetTable::digest() const
{
    return this->entriesDigest.value();
}

void FleetTable::apply(const ReleaseNote &note)
{
    // Withdrawn entries are removed first, because an added entry may have the key or the address of a withdrawn one.
    for (const std::string &name : note.withdrawn.organisations) {
        this->removeOrganisation(name);
    }
    for (const std::string &name : note.withdrawn.servers) {
        this->removeServer(name);
    }
    for (const std::string &name : note.withdrawn.models) {
        this->erase(this->current.models, name);
    }
    for (const std::string &name : note.withdrawn.domains) {
        this->erase(this->current.domains, name);
    }
    for (const std::string &name : note.withdrawn.services) {
        this->erase(this->current.services, name);
    }
    // Changed entries are removed before others are added, because an added entry may also have the former key or
    // address of a changed one.
    this->removeIndexed(note.changed);
    this->put(note.added);
    this->put(note.changed);
    ++this->current.revision;
}

void FleetTable::put(const FleetEntries &entries)
{
    // All replaced entries are removed from the indexes before any entry is added, because two of them may swap keys or
    // addresses.
    this->removeIndexed(entries);
    for (const Organisation &organisation : entries.organisations) {
        this->put(organisation);
    }
    for (const Model &model : entries.models) {
        this->put(model);
    }
    for (const FailureDomain &domain : entries.domains) {
        this->put(domain);
    }
    for (const BackendServer &server : entries.servers) {
        this->put(server);
    }
    for (const PlainService &service : entries.services) {
        this->put(service);
    }
}

void FleetTable::removeIndexed(const FleetEntries &entries)
{
    for (const Organisation &organisation : entries.organisations) {
        this->removeOrganisation(organisation.name);
    }
    for (const BackendServer &server : entries.servers) {
        this->removeServer(server.name);
    }
}

void FleetTable::setRevision(std::uint64_t revision)
{
    this->current.revision = revision;
}

void FleetTable::put(const Organisation &organisation)
{
    this->replace(this->current.organisations, organisation);
    this->adjustUseCounts(referencesOf(organisation), 1);
    for (const std::string &digest : organisation.keyDigests) {
        this->organisationsByKey[digest] = organisation.name;
    }
}

void FleetTable::put(const Model &model)
{
    this->replace(this->current.models, model);
}

void FleetTable::put(const FailureDomain &domain)
{
    this->replace(this->current.domains, domain);
}

void FleetTable::put(const BackendServer &server)
{
    this->replace(this->current.servers, server);
    this->adjustUseCounts(referencesOf(server), 1);
    this->serversByAddress[server.address] = server.name;
}

void FleetTable::put(const PlainService &service)
{
    this->replace(this->current.services, service);
}

void FleetTable::removeOrganisation(const std::string &name)
{
    const auto entry = this->current.organisations.find(name);
    if (entry == this->current.organisations.end()) {
        return;
    }
    this->adjustUseCounts(referencesOf(entry->second), -1);
    for (const std::string &digest : entry->second.keyDigests) {
        this->organisationsByKey.erase(digest);
    }
    this->erase(this->current.organisations, name);
}

void FleetTable::removeServer(const std::string &name)
{
    const auto entry = this->current.servers.find(name);
    if (entry == this->current.servers.end()) {
        return;
    }
    this->adjustUseCounts(referencesOf(entry->second), -1);
    this->serversByAddress.erase(entry->second.address);
    this->erase(this->current.servers, name);
}

void FleetTable::adjustUseCounts(const std::vector<Reference> &references, int step)
{
    for (const Reference &reference : references) {
        const auto uses = this->useCounts.try_emplace(reference, 0U).first;
        uses->second = static_cast<std::uint32_t>(static_cast<int>(uses->second) + step);
        if (uses->second == 0) {
            this->useCounts.erase(uses);
        }
    }
}

template<typename Entry>
void FleetTable::replace(std::map<std::string, Entry> &entries, const Entry &entry)
{
    this->erase(entries, entry.name);
    this->entriesDigest.add(digestOf(entry));
    entries.emplace(entry.name, entry);
}

template<typename Entry>
void FleetTable::erase(std::map<std::string, Entry> &entries, const std::string &name)
{
    if (const auto entry = entries.find(name); entry != entries.end()) {
        this->entriesDigest.remove(digestOf(entry->second));
        entries.erase(entry);
    }
}

} // namespace endivespan
