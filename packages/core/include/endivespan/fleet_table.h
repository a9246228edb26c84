#pragma once

#include <endivespan/digest.h>
#include <endivespan/fleet.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

/// The fleet in force with the indexes that checks and callers need. A note costs only what it touches.
namespace endivespan {

/// What another entry may refer to by name.
enum class Referred {
    Model,
    Service,
    Domain,
};

/// One reference from an entry to another one.
using Reference = std::pair<Referred, std::string>;

/// @returns what @p organisation refers to.
std::vector<Reference> referencesOf(const Organisation &organisation);

/// @returns what @p server refers to.
std::vector<Reference> referencesOf(const BackendServer &server);

/// A fleet that is changed in place, with its digest kept up to date.
class FleetTable
{
public:
    [[nodiscard]] const Fleet &fleet() const;

    /// @returns the organisation that holds the key with @p keyDigest, or null.
    [[nodiscard]] const Organisation *organisationOfKey(const std::string &keyDigest) const;

    /// @returns the name of the server at @p address, or an empty text.
    [[nodiscard]] std::string_view serverAt(const std::string &address) const;

    /// @returns how many entries refer to @p reference.
    [[nodiscard]] std::uint32_t uses(const Reference &reference) const;

    /// @returns the digest of all entries; does not cover the revision.
    [[nodiscard]] Digest digest() const;

    /// Applies a note that checkNote() found without fault, and counts the revision up.
    void apply(const ReleaseNote &note);

    /// Adds or replaces entries without counting the revision up.
    void put(const FleetEntries &entries);

    void setRevision(std::uint64_t revision);

private:
    void put(const Organisation &organisation);
    void put(const Model &model);
    void put(const FailureDomain &domain);
    void put(const BackendServer &server);
    void put(const PlainService &service);
    void dropIndexed(const FleetEntries &entries);
    void dropOrganisation(const std::string &name);
    void dropServer(const std::string &name);
    void count(const std::vector<Reference> &references, int step);

    template<typename Entry>
    void replace(std::map<std::string, Entry> &entries, const Entry &entry);
    template<typename Entry>
    void erase(std::map<std::string, Entry> &entries, const std::string &name);

    Fleet current;
    SetDigest sum;
    std::unordered_map<std::string, std::string> keyOwners;
    std::unordered_map<std::string, std::string> addressOwners;
    std::map<Reference, std::uint32_t> useCounts;
};

} // namespace endivespan
