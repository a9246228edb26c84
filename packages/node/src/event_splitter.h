#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// Cuts a stream of server-sent events where an event ends, with every byte kept.
namespace endivespan {

/// Holds back the event that is not complete yet.
class EventSplitter
{
public:
    /// @returns how many bytes of an event that is not complete are held.
    [[nodiscard]] std::size_t heldBytes() const;

    /// Takes what came next.
    /// @returns the bytes of all events that are complete now.
    std::string feed(std::string_view bytes);

    /// @returns what is held back, and forgets it.
    std::string takeRest();

    /// @returns the id of the last complete event that had a numeric one.
    [[nodiscard]] std::optional<std::uint64_t> lastId() const;

private:
    void readIds(std::string_view events);

    std::string held;
    std::optional<std::uint64_t> id;
};

} // namespace endivespan
