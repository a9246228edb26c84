#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// Splits a stream of server-sent events at event boundaries without changing a byte.
namespace endivespan {

/// @returns the first numeric id among complete events, or nothing when none has one.
std::optional<std::uint64_t> firstEventId(std::string_view events);

/// Passes complete events through and buffers the incomplete event at the end of the stream.
class EventSplitter
{
public:
    /// @returns the number of buffered bytes.
    [[nodiscard]] std::size_t heldBytes() const;

    /// @returns whether the buffer contains a part of an event. Blank lines and comments are no events.
    [[nodiscard]] bool isInsideEvent() const;

    /// Adds the next bytes of the stream.
    /// @returns the bytes of all events that are now complete; empty when none is.
    std::string feed(std::string_view bytes);

    /// Clears the buffer.
    /// @returns the bytes of the incomplete event that were buffered.
    std::string takeRest();

    /// @returns the last numeric id among the complete events, or nothing when none had one.
    [[nodiscard]] std::optional<std::uint64_t> lastId() const;

    /// @returns the number of complete events so far.
    [[nodiscard]] std::uint64_t count() const;

private:
    std::string held;
    std::optional<std::uint64_t> id;
    std::uint64_t events = 0;
};

} // namespace endivespan
