#include <endivespan/forward_settings.h>

#include <doctest/doctest.h>

#include <string>

using namespace endivespan;

namespace {

const std::string Plain = R"(host: h
region: r
failure_domain: z
listen: {callers: "127.0.0.1:0", readiness: "127.0.0.1:0", peers: "127.0.0.1:0", metrics: "127.0.0.1:0"}
log: {address: 127.0.0.1:9000}
)";

} // namespace

// Guards against settings of earlier deployments, which do not name the memory of the machine, that are no longer read.
TEST_CASE("the memory of the machine is optional in the settings of a forwarding host")
{
    const auto without = parseForwardSettings(Plain, "f");
    REQUIRE(without);
    CHECK_FALSE(without.value().memory);
    const auto with = parseForwardSettings(Plain + "limits: {memory: 112MiB}\n", "f");
    REQUIRE(with);
    CHECK(with.value().memory == std::size_t {112} * 1024 * 1024);
    CHECK_FALSE(parseForwardSettings(Plain + "limits: {memory: 112}\n", "f"));
    CHECK_FALSE(parseForwardSettings(Plain + "limits: {memory: 1MiB}\n", "f"));
    CHECK_FALSE(parseForwardSettings(Plain + "limits: {memori: 112MiB}\n", "f"));
}
