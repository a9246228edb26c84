#include "command.h"

#include <endivespan/prefix.h>

#include <CLI/CLI.hpp>
#include <fmt/core.h>
#include <openssl/rand.h>

#include <array>

namespace endivespan::cli {

namespace {

constexpr std::size_t KeyBytes = 24;

int makeKey()
{
    std::array<unsigned char, KeyBytes> bytes {};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
        fmt::print(stderr, "cannot obtain random bytes\n");
        return ExitFailed;
    }
    std::string key = "esk-";
    for (const unsigned char byte : bytes) {
        key += fmt::format("{:02x}", byte);
    }
    fmt::print("key: {}\nkey_sha256: {}\n", key, sha256Hex(key));
    return ExitDone;
}

} // namespace

void addKey(CLI::App &app, int &exitCode)
{
    CLI::App *command
        = app.add_subcommand("key", "Generates an API key and the digest by which a release note refers to it");
    command->callback([&exitCode] { exitCode = makeKey(); });
}

} // namespace endivespan::cli
