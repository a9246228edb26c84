#include "harness.h"

#include <doctest/doctest.h>
#include <sys/stat.h>

#include <csignal>
#include <fcntl.h>
#include <string>
#include <unistd.h>

using namespace endivespan::harness;

namespace {

constexpr int ExitBadSettings = 2;

} // namespace

// Guards against a process that a request to reload its settings ends before its handler is installed.
TEST_CASE("SIGHUP while a host reads its settings does not end the process")
{
    for (const char *program : {"packages/node/endivespand", "platform/endivespan-platform"}) {
        CAPTURE(std::string(program));
        const TempDir directory;
        const std::string path = directory.path() + "/settings.yaml";
        REQUIRE(mkfifo(path.c_str(), S_IRUSR | S_IWUSR) == 0);
        Process process({builtProgram(program), path});
        // Returns once the process has opened the other end to read its settings.
        const int settings = open(path.c_str(), O_WRONLY | O_CLOEXEC);
        REQUIRE(settings >= 0);
        process.signal(SIGHUP);
        const std::string text = "no: settings\n";
        CHECK(write(settings, text.data(), text.size()) == static_cast<ssize_t>(text.size()));
        close(settings);
        CHECK(process.waitExit() == ExitBadSettings);
    }
}
