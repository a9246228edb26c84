#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <limits>

/// Typed indices of pool entries, used instead of pointers and strings.
namespace endivespan {

/// Index into a pool. A default-constructed handle is invalid.
/// @tparam Tag Makes handles of different pools distinct types.
template<typename Tag>
struct Handle {
    static constexpr std::uint32_t Invalid = std::numeric_limits<std::uint32_t>::max();

    std::uint32_t index = Invalid;

    /// @returns true when the handle refers to an entry.
    [[nodiscard]] constexpr bool isValid() const
    {
        return this->index != Invalid;
    }

    constexpr auto operator<=>(const Handle &) const = default; // NOLINT(modernize-use-nullptr): false positive
};

using OrganisationHandle = Handle<struct OrganisationTag>;
using ModelHandle = Handle<struct ModelTag>;
using VersionHandle = Handle<struct VersionTag>; ///< One weight version of one model, with its adapter if it has one.
using DomainHandle = Handle<struct DomainTag>;
using ServerHandle = Handle<struct ServerTag>;
using StoreHandle = Handle<struct StoreTag>;
using HostHandle = Handle<struct HostTag>;

} // namespace endivespan

template<typename Tag>
struct std::hash<endivespan::Handle<Tag>> {
    std::size_t operator()(const endivespan::Handle<Tag> &handle) const noexcept
    {
        return std::hash<std::uint32_t> {}(handle.index);
    }
};
