#include "yaml_p.h"

#include <endivespan/names.h>

#include <fmt/core.h>

#include <algorithm>
#include <charconv>
#include <limits>

namespace endivespan {

namespace {

std::string joined(std::initializer_list<std::string_view> keys)
{
    std::string text;
    for (const std::string_view key : keys) {
        text += text.empty() ? "" : ", ";
        text += key;
    }
    return text;
}

} // namespace

YamlDocument::YamlDocument(std::string_view yaml, std::string file)
    : file(std::move(file))
{
    try {
        const std::vector<YAML::Node> documents = YAML::LoadAll(std::string(yaml));
        if (documents.empty() || documents.front().IsNull()) {
            this->found.push_back({this->file, 1, 1, "the file is empty"});
        } else if (documents.size() > 1) {
            this->report(documents[1].Mark(), "a second document begins here; one is allowed");
        } else {
            this->top = documents.front();
        }
    } catch (const YAML::Exception &problem) {
        this->report(problem.mark, "not YAML: " + problem.msg);
    }
}

const std::optional<YAML::Node> &YamlDocument::root() const
{
    return this->top;
}

void YamlDocument::report(const YAML::Mark &mark, std::string reason)
{
    this->found.push_back({this->file, std::max(mark.line, 0) + 1, std::max(mark.column, 0) + 1, std::move(reason)});
}

std::vector<Problem> YamlDocument::problems() const
{
    std::vector<Problem> sorted = this->found;
    std::stable_sort(sorted.begin(), sorted.end(), [](const Problem &left, const Problem &right) {
        return std::pair(left.line, left.column) < std::pair(right.line, right.column);
    });
    return sorted;
}

bool YamlDocument::hasProblems() const
{
    return !this->found.empty();
}

YamlMap::YamlMap(YamlDocument &document,
                 const YAML::Node &node,
                 std::string what,
                 std::initializer_list<std::string_view> keys)
    : document(document)
    , what(std::move(what))
    , start(node.Mark())
    , isMap(node.IsMap())
{
    if (!this->isMap) {
        this->document.report(this->start, this->what + " must be a map");
        return;
    }
    for (const auto &entry : node) {
        const YAML::Mark place = entry.first.Mark();
        if (!entry.first.IsScalar()) {
            this->document.report(place, "a key of " + this->what + " must be plain text");
            continue;
        }
        const std::string &key = entry.first.Scalar();
        if (std::find(keys.begin(), keys.end(), key) == keys.end()) {
            this->document.report(place,
                                  fmt::format("unknown key '{}' in {}; known: {}", key, this->what, joined(keys)));
        } else if (this->places.emplace(key, place).second) {
            this->values.emplace(key, entry.second);
        } else {
            this->document.report(place, fmt::format("duplicate key '{}' in {}", key, this->what));
        }
    }
}

bool YamlMap::has(std::string_view key) const
{
    return this->values.contains(key);
}

std::optional<YAML::Node> YamlMap::find(std::string_view key) const
{
    const auto entry = this->values.find(key);
    if (entry == this->values.end()) {
        return std::nullopt;
    }
    return entry->second;
}

std::optional<YAML::Node> YamlMap::require(std::string_view key)
{
    auto node = this->find(key);
    if (!node && this->isMap) {
        this->document.report(this->start, fmt::format("missing key '{}' in {}", key, this->what));
    }
    return node;
}

std::string YamlMap::text(std::string_view key)
{
    return this->requiredScalar(key).value_or("");
}

std::string YamlMap::name(std::string_view key)
{
    const auto text = this->requiredScalar(key);
    if (text && !isName(*text)) {
        this->reportAt(key,
                       fmt::format("{} is '{}', must be a name of at most 64 letters, digits, '.', '_' and '-'",
                                   this->label(key),
                                   *text));
    }
    return text.value_or("");
}

std::string YamlMap::address(std::string_view key, bool allowPortZero)
{
    const auto text = this->requiredScalar(key);
    if (text && !isAddress(*text, allowPortZero)) {
        this->reportAt(key,
                       fmt::format("{} is '{}', must be an address such as 10.0.0.1:8080", this->label(key), *text));
    }
    return text.value_or("");
}

std::uint64_t YamlMap::number(std::string_view key, std::uint64_t fallback, std::uint64_t least, std::uint64_t most)
{
    const auto node = this->find(key);
    const auto text = node ? this->scalar(*node, key) : std::nullopt;
    if (!text) {
        return fallback;
    }
    std::uint64_t value = 0;
    const auto [end, problem] = std::from_chars(text->data(), text->data() + text->size(), value);
    if (problem != std::errc() || end != text->data() + text->size() || value < least || value > most) {
        this->reportAt(
            key, fmt::format("{} is '{}', must be a whole number from {} to {}", this->label(key), *text, least, most));
        return fallback;
    }
    return value;
}

double YamlMap::decimal(std::string_view key, double fallback, double least, double most)
{
    const auto node = this->find(key);
    const auto text = node ? this->scalar(*node, key) : std::nullopt;
    if (!text) {
        return fallback;
    }
    double value = 0;
    const auto [end, problem] = std::from_chars(text->data(), text->data() + text->size(), value);
    const bool whole = problem == std::errc() && end == text->data() + text->size();
    if (!whole || !(value >= least && value <= most)) {
        this->reportAt(key,
                       fmt::format("{} is '{}', must be a number from {} to {}", this->label(key), *text, least, most));
        return fallback;
    }
    return value;
}

std::chrono::milliseconds YamlMap::duration(std::string_view key,
                                            std::chrono::milliseconds fallback,
                                            std::chrono::milliseconds least,
                                            std::chrono::milliseconds most)
{
    static const std::vector<std::pair<std::string_view, std::uint64_t>> Units {
        {"ms", 1}, {"s", 1000}, {"m", 60'000}, {"h", 3'600'000}};
    const auto range = std::pair<std::uint64_t, std::uint64_t>(least.count(), most.count());
    return std::chrono::milliseconds(this->withUnit(key, fallback.count(), range, Units));
}

std::uint64_t YamlMap::size(std::string_view key, std::uint64_t fallback, std::uint64_t least, std::uint64_t most)
{
    static const std::vector<std::pair<std::string_view, std::uint64_t>> Units {
        {"B", 1}, {"KiB", 1024}, {"MiB", 1024 * 1024}};
    return this->withUnit(key, fallback, {least, most}, Units);
}

bool YamlMap::flag(std::string_view key, bool fallback)
{
    return this->choice<bool>(key, fallback, {{"true", true}, {"false", false}});
}

std::vector<YAML::Node> YamlMap::list(std::string_view key)
{
    const auto node = this->find(key);
    if (!node) {
        return {};
    }
    if (!node->IsSequence()) {
        this->reportAt(key, this->label(key) + " must be a list");
        return {};
    }
    return {node->begin(), node->end()};
}

std::vector<std::string> YamlMap::names(std::string_view key)
{
    std::vector<std::string> names;
    for (const auto &[text, place] : this->texts(key)) {
        if (!isName(text)) {
            this->document.report(place,
                                  fmt::format("'{}' in {} is no name of at most 64 letters, digits, '.', '_' and '-'",
                                              text,
                                              this->label(key)));
        }
        names.push_back(text);
    }
    return names;
}

std::vector<std::pair<std::string, YAML::Mark>> YamlMap::texts(std::string_view key)
{
    std::vector<std::pair<std::string, YAML::Mark>> texts;
    std::set<std::string> seen;
    for (const YAML::Node &node : this->list(key)) {
        const auto text = this->scalar(node, key);
        if (!text) {
            continue;
        }
        if (!seen.insert(*text).second) {
            this->document.report(node.Mark(), fmt::format("'{}' is twice in {}", *text, this->label(key)));
            continue;
        }
        texts.emplace_back(*text, node.Mark());
    }
    return texts;
}

void YamlMap::reportAt(std::string_view key, std::string reason)
{
    const auto node = this->find(key);
    this->document.report(node ? this->placeOf(*node, key) : this->start, std::move(reason));
}

const YAML::Mark &YamlMap::mark() const
{
    return this->start;
}

// yaml-cpp positions a missing value at the next token, which may be several lines further down; the position of the
// key is used instead.
YAML::Mark YamlMap::placeOf(const YAML::Node &node, std::string_view key) const
{
    const auto place = this->places.find(key);
    return node.IsNull() && place != this->places.end() ? place->second : node.Mark();
}

std::optional<std::string> YamlMap::scalar(const YAML::Node &node, std::string_view key)
{
    if (node.IsNull()) {
        this->document.report(this->placeOf(node, key), this->label(key) + " has no value");
        return std::nullopt;
    }
    if (!node.IsScalar()) {
        this->document.report(node.Mark(), this->label(key) + " must be a single value");
        return std::nullopt;
    }
    return node.Scalar();
}

std::optional<std::string> YamlMap::requiredScalar(std::string_view key)
{
    const auto node = this->require(key);
    return node ? this->scalar(*node, key) : std::nullopt;
}

std::string YamlMap::label(std::string_view key) const
{
    return fmt::format("'{}' in {}", key, this->what);
}

std::uint64_t YamlMap::withUnit(std::string_view key,
                                std::uint64_t fallback,
                                std::pair<std::uint64_t, std::uint64_t> range,
                                const std::vector<std::pair<std::string_view, std::uint64_t>> &units)
{
    const auto node = this->find(key);
    const auto text = node ? this->scalar(*node, key) : std::nullopt;
    if (!text) {
        return fallback;
    }
    std::uint64_t count = 0;
    const char *last = text->data() + text->size();
    const auto [end, problem] = std::from_chars(text->data(), last, count);
    const std::string_view unit(end, static_cast<std::size_t>(last - end));
    std::string known;
    for (const auto &[name, factor] : units) {
        known += known.empty() ? "" : ", ";
        known += name;
        if (problem != std::errc() || name != unit) {
            continue;
        }
        const bool fits = count <= std::numeric_limits<std::uint64_t>::max() / factor;
        if (!fits || count * factor < range.first || count * factor > range.second) {
            this->reportAt(key,
                           fmt::format("{} is '{}', must be from {}{} to {}{}",
                                       this->label(key),
                                       *text,
                                       range.first,
                                       units.front().first,
                                       range.second,
                                       units.front().first));
            return fallback;
        }
        return count * factor;
    }
    this->reportAt(key,
                   fmt::format("{} is '{}', must be a whole number with a unit: {}", this->label(key), *text, known));
    return fallback;
}

} // namespace endivespan
