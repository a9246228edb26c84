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

/// The configuration in force with its indexes. Applying a release note costs time in proportion to the entries that it
/// names, not to the size of the configuration.
namespace endivespan {

/// Kinds of entries that another entry may refer to by name.
enum class ReferenceKind {
    Model,
    Service,
    Domain,
};

/// Reference to an entry, by kind and name.
using Reference = std::pair<ReferenceKind, std::string>;

/// @returns the models and plain services that @p organisation may use.
std::vector<Reference> referencesOf(const Organisation &organisation);

/// @returns the failure domain of @p server, and the model or plain service that it serves.
std::vector<Reference> referencesOf(const BackendServer &server);

/// A configuration that is changed in place, with indexes by key, address and reference, and an up-to-date digest.
class FleetTable
{
public:
    [[nodiscard]] const Fleet &fleet() const;

    /// @returns the organisation that owns the API key with @p keyDigest, or null.
    [[nodiscard]] const Organisation *organisationOfKey(const std::string &keyDigest) const;

    /// @returns the name of the server at @p address, or an empty string.
    [[nodiscard]] std::string_view serverAt(const std::string &address) const;

    /// @returns how many entries refer to @p reference.
    [[nodiscard]] std::uint32_t useCount(const Reference &reference) const;

    /// @returns the digest of all entries, without the revision.
    [[nodiscard]] Digest digest() const;

    /// Applies a note that has passed checkNote(), and increments the revision.
    void apply(const ReleaseNote &note);

    /// Adds or replaces entries; leaves the revision as it is.
    void put(const FleetEntries &entries);

    void setRevision(std::uint64_t revision);

private:
    void put(const Organisation &organisation);
    void put(const Model &model);
    void put(const FailureDomain &domain);
    void put(const BackendServer &server);
    void put(const PlainService &service);
    void removeIndexed(const FleetEntries &entries);
    void removeOrganisation(const std::string &name);
    void removeServer(const std::string &name);
    void adjustUseCounts(const std::vector<Reference> &references, int step);

    template<typename Entry>
    void replace(std::map<std::string, Entry> &entries, const Entry &entry);
    template<typename Entry>
    void erase(std::map<std::string, Entry> &entries, const std::string &name);

    Fleet current;
    SetDigest entriesDigest; ///< Of all entries.
    std::unordered_map<std::string, std::string> organisationsByKey; ///< Organisation by key digest.
    std::unordered_map<std::string, std::string> serversByAddress; ///< Server by address.
    std::map<Reference, std::uint32_t> useCounts; ///< Number of entries with each reference.
};

} // namespace endivespan
