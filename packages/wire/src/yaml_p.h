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

/// Reading YAML that operators write, with every problem reported at its place.
namespace endivespan {

/// One document and the problems found in it so far.
class YamlDocument
{
public:
    /// Parses @p yaml; a syntax error or anything but one document is a problem.
    YamlDocument(std::string_view yaml, std::string file);

    /// @returns the top node, or nothing when the text cannot be parsed.
    [[nodiscard]] const std::optional<YAML::Node> &root() const;

    /// Adds a problem at @p mark.
    void report(const YAML::Mark &mark, std::string reason);

    /// @returns all problems in the order of their lines.
    [[nodiscard]] std::vector<Problem> problems() const;

    [[nodiscard]] bool hasProblems() const;

private:
    std::string file;
    std::optional<YAML::Node> top;
    std::vector<Problem> found;
};

/// A map with a closed list of keys. Reading reports missing keys and values of the wrong form; the value is then a
/// default.
class YamlMap
{
public:
    /// Reports duplicate and unknown keys, and a node that is no map.
    /// @param what Name of the map in problems.
    /// @param keys Every key that the map may have.
    YamlMap(YamlDocument &document,
            const YAML::Node &node,
            std::string what,
            std::initializer_list<std::string_view> keys);

    /// @returns true when @p key is present.
    [[nodiscard]] bool has(std::string_view key) const;

    /// @returns the value of @p key, or nothing when absent.
    [[nodiscard]] std::optional<YAML::Node> find(std::string_view key) const;

    /// @returns the value of @p key; reports an absent one.
    std::optional<YAML::Node> require(std::string_view key);

    /// @returns a required text.
    std::string text(std::string_view key);

    /// @returns a required name: letters, digits, '.', '_' and '-', at most 64.
    std::string name(std::string_view key);

    /// @returns a required address "a.b.c.d:port".
    /// @param allowPortZero Whether port 0 may be written to take a free one.
    std::string address(std::string_view key, bool allowPortZero = false);

    /// @returns an optional whole number from @p least to @p most.
    std::uint64_t number(std::string_view key, std::uint64_t fallback, std::uint64_t least, std::uint64_t most);

    /// @returns an optional span of time with its unit: ms, s, m or h.
    std::chrono::milliseconds duration(std::string_view key,
                                       std::chrono::milliseconds fallback,
                                       std::chrono::milliseconds least,
                                       std::chrono::milliseconds most);

    /// @returns an optional number from @p least to @p most, with or without a decimal point.
    double decimal(std::string_view key, double fallback, double least, double most);

    /// @returns an optional size with its unit: B, KiB or MiB.
    std::uint64_t size(std::string_view key, std::uint64_t fallback, std::uint64_t least, std::uint64_t most);

    /// @returns an optional true or false.
    bool flag(std::string_view key, bool fallback);

    /// @returns an optional choice out of @p choices.
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

    /// @returns an optional list of nodes.
    std::vector<YAML::Node> list(std::string_view key);

    /// @returns an optional list of names, none twice.
    std::vector<std::string> names(std::string_view key);

    /// @returns an optional list of texts, none twice, each with its place.
    std::vector<std::pair<std::string, YAML::Mark>> texts(std::string_view key);

    /// Adds a problem at the value of @p key.
    void reportAt(std::string_view key, std::string reason);

    /// @returns where the map begins.
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
    std::map<std::string, YAML::Mark, std::less<>> places; ///< Of the keys.
};

} // namespace endivespan
