#include "event_splitter.h"

#include <algorithm>
#include <charconv>
#include <utility>
#include <vector>

namespace endivespan {

namespace {

constexpr std::string_view EventEnd = "\n\n";
constexpr std::string_view EventEndCrLf = "\r\n\r\n";
constexpr std::string_view IdField = "id:";

std::size_t endOfEvents(std::string_view text)
{
    std::size_t end = 0;
    if (const std::size_t at = text.rfind(EventEnd); at != std::string_view::npos) {
        end = at + EventEnd.size();
    }
    if (const std::size_t at = text.rfind(EventEndCrLf); at != std::string_view::npos) {
        end = std::max(end, at + EventEndCrLf.size());
    }
    return end;
}

std::vector<std::uint64_t> idsOf(std::string_view events)
{
    std::vector<std::uint64_t> ids;
    std::size_t at = 0;
    while (at < events.size()) {
        const std::size_t end = std::min(events.find('\n', at), events.size());
        std::string_view line = events.substr(at, end - at);
        at = end + 1;
        if (!line.starts_with(IdField)) {
            continue;
        }
        line.remove_prefix(IdField.size());
        while (line.starts_with(' ')) {
            line.remove_prefix(1);
        }
        std::uint64_t number = 0;
        if (std::from_chars(line.data(), line.data() + line.size(), number).ec == std::errc()) {
            ids.push_back(number);
        }
    }
    return ids;
}

// Counts the events of a text that ends with the end of an event. Comments alone are no event.
std::uint64_t countEvents(std::string_view text)
{
    std::uint64_t count = 0;
    bool isInside = false;
    while (!text.empty()) {
        const std::string_view line = text.substr(0, text.find('\n'));
        const bool isBlank = line.empty() || line == "\r";
        count += isBlank && isInside ? 1 : 0;
        isInside = !isBlank && (isInside || !line.starts_with(':'));
        text.remove_prefix(std::min(line.size() + 1, text.size()));
    }
    return count;
}

} // namespace

std::optional<std::uint64_t> firstEventId(std::string_view events)
{
    const auto ids = idsOf(events);
    return ids.empty() ? std::nullopt : std::optional(ids.front());
}

std::size_t EventSplitter::heldBytes() const
{
    return this->held.size();
}

bool EventSplitter::isInsideEvent() const
{
    std::string_view rest = this->held;
    while (!rest.empty()) {
        const std::string_view line = rest.substr(0, rest.find('\n'));
        if (!line.empty() && line != "\r" && !line.starts_with(':')) {
            return true;
        }
        rest.remove_prefix(std::min(line.size() + 1, rest.size()));
    }
    return false;
}

std::string EventSplitter::feed(std::string_view bytes)
{
    // The buffer contains no complete event, so only its last bytes can be the beginning of an event end.
    const std::size_t from = this->held.size() - std::min(this->held.size(), EventEndCrLf.size());
    this->held += bytes;
    const std::size_t found = endOfEvents(std::string_view(this->held).substr(from));
    const std::size_t end = found == 0 ? 0 : from + found;
    if (end == 0) {
        return {};
    }
    std::string complete = this->held.substr(0, end);
    this->held.erase(0, end);
    this->events += countEvents(complete);
    if (const auto ids = idsOf(complete); !ids.empty()) {
        this->id = ids.back();
    }
    return complete;
}

std::string EventSplitter::takeRest()
{
    return std::exchange(this->held, {});
}

std::optional<std::uint64_t> EventSplitter::lastId() const
{
    return this->id;
}

std::uint64_t EventSplitter::count() const
{
    return this->events;
}

} // namespace endivespan
