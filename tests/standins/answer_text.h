#pragma once

#include <endivespan/prefix.h>

#include <fmt/format.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace endivespan::standins {

/// Writes the answers of the engine stand-in: token texts depend on model, version, prompt and index alone.
class AnswerText
{
public:
    AnswerText(std::string_view model, std::string_view version, std::string_view prompt)
        : seed(sha256Hex(fmt::format("{}\n{}\n{}", model, version, sha256Hex(prompt))).substr(0, SeedDigits))
    {
    }

    /// @returns the text of token @p index.
    [[nodiscard]] std::string token(std::uint64_t index) const
    {
        return fmt::format("{}.{} ", this->seed, index);
    }

    /// @returns the texts of tokens @p from to @p count - 1 in a row.
    [[nodiscard]] std::string tokens(std::uint64_t from, std::uint64_t count) const
    {
        std::string text;
        for (std::uint64_t index = from; index < count; ++index) {
            text += this->token(index);
        }
        return text;
    }

private:
    static constexpr std::size_t SeedDigits = 8;

    std::string seed;
};

} // namespace endivespan::standins
