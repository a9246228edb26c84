#pragma once

#include <endivespan/problem.h>

#include <yaml-cpp/yaml.h>

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// Reader for YAML files that operators write. It collects all problems with their positions.
namespace endivespan {

/// A YAML document and the problems found in it so far.
class YamlDocument
{
public:
    /// Parses @p yaml. Reports a syntax error, an empty file and a second document as problems.
    YamlDocument(std::string_view yaml, std::string file);

    /// @returns the root node, or nothing when the text cannot be parsed.
    [[nodiscard]] const std::optional<YAML::Node> &root() const;

    /// Adds a problem at @p mark.
    void report(const YAML::Mark &mark, std::string reason);

    /// @returns all problems, ordered by line.
    [[nodiscard]] std::vector<Problem> problems() const;

    [[nodiscard]] bool hasProblems() const;

private:
    std::string file;
    std::optional<YAML::Node> top;
    std::vector<Problem> found;
};

/// A map with a fixed set of keys. The read functions report missing required keys and invalid values, and then return
/// a default value, so that the remaining keys are checked as well.
class YamlMap
{
public:
    /// Reports duplicate and unknown keys, and a node that is not a map.
    /// @param what Name of the map, used in problems.
    /// @param keys All keys that the map may contain.
    YamlMap(YamlDocument &document,
            const YAML::Node &node,
            std::string what,
            std::initializer_list<std::string_view> keys);

    /// @returns true when @p key is present.
    [[nodiscard]] bool has(std::string_view key) const;

    /// @returns the value of @p key, or nothing when absent.
    [[nodiscard]] std::optional<YAML::Node> find(std::string_view key) const;

    /// @returns the value of @p key; reports a problem when absent.
    std::optional<YAML::Node> require(std::string_view key);

    /// @returns the value of a required string.
    std::string text(std::string_view key);

    /// @returns the value of a required name: at most 64 letters, digits, '.', '_' and '-'.
    std::string name(std::string_view key);

    /// @returns the value of a required address "a.b.c.d:port".
    /// @param allowPortZero Whether port 0, which selects a free port, is valid.
    std::string address(std::string_view key, bool allowPortZero = false);

    /// @returns the value of an optional integer from @p least to @p most, or @p fallback when absent.
    std::uint64_t number(std::string_view key, std::uint64_t fallback, std::uint64_t least, std::uint64_t most);

    /// @returns the value of an optional duration with a unit (ms, s, m or h), or @p fallback when absent.
    std::chrono::milliseconds duration(std::string_view key,
                                       std::chrono::milliseconds fallback,
                                       std::chrono::milliseconds least,
                                       std::chrono::milliseconds most);

    /// @returns the value of an optional number from @p least to @p most, with or without a decimal point, or @p
    /// fallback
    ///     when absent.
    double decimal(std::string_view key, double fallback, double least, double most);

    /// @returns the value of an optional size in bytes with a unit (B, KiB or MiB), or @p fallback when absent.
    std::uint64_t size(std::string_view key, std::uint64_t fallback, std::uint64_t least, std::uint64_t most);

    /// @returns the value of an optional boolean, or @p fallback when absent.
    bool flag(std::string_view key, bool fallback);

    /// @returns the value of an optional key whose name must be one of @p choices, or @p fallback when absent.
    template<typename Choice>
    Choice
    choice(std::string_view key, Choice fallback, const std::vector<std::pair<std::string_view, Choice>> &choices)
    {
        const auto node = this->find(key);
        if (!node) {
            return fallback;
        }
        const auto text = this->scalar(*node, key);
        if (!text) {
            return fallback;
        }
        std::string names;
        for (const auto &[name, value] : choices) {
            if (name == *text) {
                return value;
            }
            names += names.empty() ? "" : ", ";
            names += name;
        }
        this->document.report(node->Mark(), this->label(key) + " is '" + *text + "', must be one of: " + names);
        return fallback;
    }

    /// @returns the nodes of an optional list.
    std::vector<YAML::Node> list(std::string_view key);

    /// @returns the names of an optional list; reports duplicates.
    std::vector<std::string> names(std::string_view key);

    /// @returns the strings of an optional list with their positions; reports duplicates.
    std::vector<std::pair<std::string, YAML::Mark>> texts(std::string_view key);

    /// Reports a problem at the value of @p key.
    void reportAt(std::string_view key, std::string reason);

    /// @returns the position at which the map begins.
    [[nodiscard]] const YAML::Mark &mark() const;

private:
    [[nodiscard]] YAML::Mark placeOf(const YAML::Node &node, std::string_view key) const;
    std::optional<std::string> scalar(const YAML::Node &node, std::string_view key);
    std::optional<std::string> requiredScalar(std::string_view key);
    [[nodiscard]] std::string label(std::string_view key) const;
    std::uint64_t withUnit(std::string_view key,
                           std::uint64_t fallback,
                           std::pair<std::uint64_t, std::uint64_t> range,
                           const std::vector<std::pair<std::string_view, std::uint64_t>> &units);

    YamlDocument &document;
    std::string what;
    YAML::Mark start;
    bool isMap;
    std::map<std::string, YAML::Node, std::less<>> values;
    std::map<std::string, YAML::Mark, std::less<>> places; ///< Positions of the keys.
};

} // namespace endivespan
