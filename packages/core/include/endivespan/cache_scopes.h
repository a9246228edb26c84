#pragma once

#include <endivespan/clock.h>
#include <endivespan/forward.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

/// Scopes of cached prompt parts: only requests with the same scope share them.
namespace endivespan {

/// The fields of a scope.
struct CacheScope {
    std::string model;
    std::uint64_t version = 0; ///< Of the weights.
    std::string sharers; ///< Those who share the parts, as CacheScopes::sharers() returns.

    /// @returns the scope as text; different scopes have different texts.
    [[nodiscard]] std::string text() const;

    /// @returns the scope that text() gives as @p text, or nothing for any other text.
    static std::optional<CacheScope> parse(const std::string &text);
};

/// Determines from the configuration who shares cached parts with whom.
///
/// Made for organisations that are isolated, released, removed and added again while parts from before are still
/// cached. The text of a scope depends on the newest configuration alone, so that hosts that have started at different
/// times agree, and names all organisations that share it: whoever made a part in it may share it now.
class CacheScopes
{
public:
    /// Applies the organisations of a configuration.
    void setOrganisations(const std::vector<ForwardOrganisation> &organisations, TimePoint now);

    /// @param organisation Name of an organisation; empty for callers without one.
    /// @returns those with whom it shares parts. An organisation that the configuration lacks shares with nobody.
    [[nodiscard]] std::string sharers(const std::string &organisation) const;

    /// @returns whether parts may be fetched and saved. Not just after those who share have changed: another host may
    ///     still free the parts of a scope that has come back into use.
    [[nodiscard]] bool mayTransfer(TimePoint now) const;

    /// @returns whether parts of @p sharers may be freed: they have been out of use for so long that no host uses them.
    [[nodiscard]] bool mayFree(const std::string &sharers, TimePoint now) const;

private:
    std::set<std::string> sharing; ///< Organisations that are not isolated.
    std::string common; ///< Sharers of these organisations' parts.
    std::set<std::string> inUse; ///< Sharers of all scopes under the configuration.
    std::map<std::string, TimePoint> unusedSince; ///< Sharers of scopes in use before.
    std::optional<TimePoint> changedAt; ///< When the scopes in use last changed, beyond the first configuration.
};

} // namespace endivespan
