#include "host_process.h"

#include <endivespan/note.h>

#include <doctest/doctest.h>

using namespace endivespan;
using namespace endivespan::harness;

namespace {

std::vector<std::string> smallDeployment()
{
    return {"--runners", "1", "--order-runners", "1", "--stores", "1"};
}

ReleaseNote domainNote(std::uint64_t against, const std::string &author, const std::string &domain)
{
    ReleaseNote note;
    note.author = author;
    note.against = against;
    note.added.domains.push_back({domain, "hame", ServiceState::InService});
    return note;
}

/// Exit code and output of one run of the command line tool.
struct CommandResult {
    int exitCode;
    std::string output;
    std::string errors;
};

CommandResult finishCommand(Process &command)
{
    CommandResult result {-1, "", ""};
    while (const auto line = command.readLine()) {
        result.output += *line + "\n";
    }
    result.exitCode = command.waitExit().value_or(-1);
    result.errors = command.errorText();
    return result;
}

CommandResult runCommand(const std::vector<std::string> &arguments)
{
    std::vector<std::string> words {builtProgram("packages/cli/endivespan")};
    words.insert(words.end(), arguments.begin(), arguments.end());
    Process command(words);
    return finishCommand(command);
}

CommandResult publishNote(const Standins &standins, const TempDir &directory, const ReleaseNote &note)
{
    const std::string file = directory.write("note.yaml", noteToYaml(note));
    return runCommand({"publish", file, "--log", standins.address("log")});
}

bool holdTheSame(HostGroup &hosts)
{
    std::vector<std::string> words {"status", "--host"};
    for (std::size_t i = 0; i < 3; ++i) {
        words.push_back(hosts.at(i).address());
    }
    const CommandResult result = runCommand(words);
    CHECK(result.output.find("3 of 3 hosts answered") != std::string::npos);
    return result.exitCode == 0;
}

} // namespace

TEST_CASE("check reports file, line and reason of each error, and needs no log")
{
    const TempDir directory;
    const std::string note = directory.write("note.yaml", "author: anna\nagainst: x\n");
    const std::string settings = directory.write("host.yaml", "host: a b\n");
    const CommandResult result = runCommand({"check", note, settings});
    CHECK(result.exitCode == 2);
    CHECK(result.errors.find(note + ":2:10: 'against' in the note is 'x'") != std::string::npos);
    CHECK(result.errors.find(settings + ":1:7: 'host' in the settings is 'a b'") != std::string::npos);
}

TEST_CASE("publish reports whether a note is accepted, lost to another one or in conflict with what is in force")
{
    const Standins standins(smallDeployment());
    const TempDir directory;
    const CommandResult first = publishNote(standins, directory, domainNote(0, "anna", "hame-a"));
    CHECK(first.exitCode == 0);
    CHECK(first.output.find("accepted as revision 1") != std::string::npos);
    const CommandResult second = publishNote(standins, directory, domainNote(0, "bartek", "hame-b"));
    CHECK(second.exitCode == 3);
    CHECK(second.errors.find("lost against revision 1 by anna") != std::string::npos);
    const CommandResult third = publishNote(standins, directory, domainNote(1, "bartek", "hame-a"));
    CHECK(third.exitCode == 3);
    CHECK(third.errors.find("failure domain 'hame-a' is added but in force") != std::string::npos);
}

TEST_CASE("an append whose answer is lost is read back, and its note is published once")
{
    const Standins standins(smallDeployment());
    const TempDir directory;
    standins.control("log", {{"lose_answers", 1}});
    const CommandResult result = publishNote(standins, directory, domainNote(0, "anna", "hame-a"));
    CHECK(result.exitCode == 0);
    CHECK(result.output.find("accepted as revision 1") != std::string::npos);
    CHECK(standins.counts("log")["lost_answers"] == 1);
}

TEST_CASE("publish reports that a note was not published while the log is down")
{
    const Standins standins(smallDeployment());
    const TempDir directory;
    standins.control("log", {{"outage", "refuse"}});
    const std::string file = directory.write("note.yaml", noteToYaml(domainNote(0, "anna", "hame-a")));
    const CommandResult result = runCommand({"publish", file, "--log", standins.address("log"), "--wait", "1"});
    CHECK(result.exitCode == 1);
    CHECK(result.errors.find("not published") != std::string::npos);
}

TEST_CASE("notes come into force on all hosts, survive trimming of the log, and reach a host that starts later")
{
    const Standins standins(smallDeployment());
    const TempDir directory;
    HostGroup hosts(standins);
    REQUIRE(publishNote(standins, directory, domainNote(0, "anna", "hame-a")).exitCode == 0);
    hosts.awaitReady(1);
    CHECK(holdTheSame(hosts));
    // The log keeps only the newest records, so the hosts must write snapshots of the configuration.
    standins.control("log", {{"retain_records", 6}});
    for (std::uint64_t revision = 1; revision < 8; ++revision) {
        const ReleaseNote note = domainNote(revision, "anna", "zone-" + std::to_string(revision));
        REQUIRE(publishNote(standins, directory, note).exitCode == 0);
        hosts.awaitReady(revision + 1);
    }
    hosts.restart(0);
    hosts.awaitReady(8);
    CHECK(eventually([&] { return holdTheSame(hosts); }));
    hosts.checkInvariants();
}
