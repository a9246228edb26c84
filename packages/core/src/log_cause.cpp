#include <endivespan/config.h>
#include <endivespan/log_cause.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdlib>
#include <set>
#include <utility>

namespace endivespan {

namespace {

using Seconds = std::chrono::duration<double>;

constexpr std::array<RefusalAnswer, static_cast<std::size_t>(RefusalCause::Count)> Table {{
    {RefusalCause::None, "none", ErrorKind::Internal, ""},
    {RefusalCause::ServersRest,
     "servers_rest",
     ErrorKind::Overloaded,
     "all servers of the service have asked this host to pause"},
    {RefusalCause::NoPlaceInTime, "no_place_in_time", ErrorKind::Overloaded, "no place came free in time"},
    {RefusalCause::QueueFull, "queue_full", ErrorKind::Overloaded, "the queue of waiting requests is full"},
    {RefusalCause::TooLittleTime,
     "too_little_time",
     ErrorKind::Overloaded,
     "too little time is left before the deadline"},
    {RefusalCause::ConfigurationStale,
     "configuration_stale",
     ErrorKind::ConfigurationStale,
     "the configuration has not been confirmed recently"},
    {RefusalCause::IdenticalCrashes,
     "identical_crashes",
     ErrorKind::Overloaded,
     "several servers crashed while they ran an identical request"},
    {RefusalCause::PartCrashes,
     "part_crashes",
     ErrorKind::Overloaded,
     "several servers crashed while they ran requests with a part of this prompt"},
    {RefusalCause::HostStopping, "host_stopping", ErrorKind::HostStopping, "this host is stopping"},
    {RefusalCause::StopBeforeAnswer,
     "stop_before_answer",
     ErrorKind::HostStopping,
     "this host is expected to stop before the request is answered"},
    {RefusalCause::NotRunAnswers,
     "not_run_answers",
     ErrorKind::Overloaded,
     "servers refused the request without running it"},
    {RefusalCause::NoServer, "no_server", ErrorKind::NoServer, "no server is reachable"},
    {RefusalCause::InputEnded,
     "input_ended",
     ErrorKind::Overloaded,
     "no place was free when the caller closed its sending direction"},
    {RefusalCause::NoPlaceExpected,
     "no_place_expected",
     ErrorKind::Overloaded,
     "no place is expected early enough for an answer"},
    {RefusalCause::StandingQueue,
     "standing_queue",
     ErrorKind::Overloaded,
     "requests have waited too long for a while, and others come first"},
}};

constexpr bool tableFollowsEnumeration()
{
    for (std::size_t i = 0; i < Table.size(); ++i) {
        if (static_cast<std::size_t>(Table[i].cause) != i) {
            return false;
        }
    }
    return true;
}

static_assert(tableFollowsEnumeration(), "Table must have one entry for each cause, in the order of the enumeration");

bool isError(const std::string &result, ErrorKind kind)
{
    return result == errorAnswer(kind).name;
}

// Formats seconds as in "12.3 s".
std::string formatSeconds(double value)
{
    const long tenths = std::lround(value * 10);
    return std::to_string(tenths / 10) + "." + std::to_string(tenths % 10) + " s";
}

double parseNumber(const std::string &text)
{
    return std::strtod(text.c_str(), nullptr);
}

// Removes the next key=value pair from the line. Values with spaces are in double quotes.
std::pair<std::string, std::string> takeField(std::string_view &rest)
{
    rest.remove_prefix(std::min(rest.find_first_not_of(' '), rest.size()));
    const std::size_t equals = rest.find('=');
    if (equals == std::string_view::npos || rest.substr(0, equals).find(' ') != std::string_view::npos) {
        rest = {};
        return {};
    }
    std::string key(rest.substr(0, equals));
    rest.remove_prefix(equals + 1);
    const bool quoted = !rest.empty() && rest.front() == '"';
    const std::size_t end = quoted ? rest.find('"', 1) : rest.find(' ');
    const std::size_t length = std::min(end, rest.size());
    std::string value(quoted ? rest.substr(1, length - 1) : rest.substr(0, length));
    rest.remove_prefix(std::min(length + (quoted ? 1 : 0), rest.size()));
    return {std::move(key), std::move(value)};
}

std::string lastServer(const std::vector<const LogEntry *> &story)
{
    std::string last;
    for (const LogEntry *entry : story) {
        const std::string servers = entry->field("servers");
        if (const std::string server = entry->field("server"); !server.empty()) {
            last = server;
        } else if (!servers.empty()) {
            last = servers.substr(servers.rfind(',') + 1);
        }
    }
    return last;
}

} // namespace

const RefusalAnswer &refusalAnswer(RefusalCause cause)
{
    return Table.at(static_cast<std::size_t>(cause));
}

RefusalCause refusalCauseNamed(std::string_view name)
{
    const auto *found
        = std::find_if(Table.begin(), Table.end(), [name](const RefusalAnswer &answer) { return answer.name == name; });
    return found == Table.end() ? RefusalCause::None : found->cause;
}

std::string LogEntry::field(const std::string &name) const
{
    const auto found = this->fields.find(name);
    return found == this->fields.end() ? std::string() : found->second;
}

std::optional<LogEntry> parseLogLine(std::string_view line)
{
    while (!line.empty() && (line.back() == '\n' || line.back() == '\r')) {
        line.remove_suffix(1);
    }
    const std::size_t begin = line.substr(0, 2) == "t=" ? 0 : line.find(" t=");
    if (begin == std::string_view::npos) {
        return std::nullopt;
    }
    LogEntry entry;
    std::string_view rest = line.substr(begin == 0 ? 0 : begin + 1);
    entry.text = rest;
    while (!rest.empty()) {
        auto [key, value] = takeField(rest);
        if (!key.empty()) {
            entry.fields.emplace(std::move(key), std::move(value));
        }
    }
    entry.at = parseNumber(entry.field("t"));
    entry.host = entry.field("host");
    entry.event = entry.field("event");
    for (const char *name : {"t", "host", "event"}) {
        entry.fields.erase(name);
    }
    return entry.event.empty() || entry.host.empty() ? std::nullopt : std::optional(std::move(entry));
}

void LogIndex::add(std::string_view line)
{
    if (auto entry = parseLogLine(line)) {
        this->entries.push_back(std::move(*entry));
    }
}

void LogIndex::finish()
{
    std::stable_sort(
        this->entries.begin(), this->entries.end(), [](const LogEntry &a, const LogEntry &b) { return a.at < b.at; });
}

std::size_t LogIndex::size() const
{
    return this->entries.size();
}

std::vector<const LogEntry *> LogIndex::linesOf(const std::string &request) const
{
    std::vector<const LogEntry *> lines;
    for (const LogEntry &entry : this->entries) {
        if (entry.field("request") == request) {
            lines.push_back(&entry);
        }
    }
    return lines;
}

std::vector<const LogEntry *> LogIndex::linesAround(const LogEntry &entry, double before, double after) const
{
    std::vector<const LogEntry *> lines;
    for (const LogEntry &other : this->entries) {
        if (other.at >= entry.at - before && other.at <= entry.at + after) {
            lines.push_back(&other);
        }
    }
    return lines;
}

std::optional<std::string> LogIndex::cause(const std::string &request) const
{
    const auto lines = this->linesOf(request);
    if (lines.empty()) {
        return std::nullopt;
    }
    const LogEntry &last = *lines.back();
    const std::string result = last.event == "request_refused" ? last.field("kind") : last.field("outcome");
    const std::string why = last.field("why");
    const std::string server = lastServer(lines);
    if (last.event != "request" && last.event != "request_refused") {
        return "the host logged no outcome; its last line is: " + last.text;
    }
    if (result == outcome::Answered) {
        return "the request was answered";
    }
    const RefusalCause refusal = refusalCauseNamed(last.field("cause"));
    const bool isCrash = refusal == RefusalCause::IdenticalCrashes || refusal == RefusalCause::PartCrashes;
    // After an attempt that may have run, the outcome is that of the attempt, unless crashes forbade another one.
    if (isCrash || isError(result, refusalAnswer(refusal).kind)) {
        if (auto cause = this->causeOfRefusal(refusal, last)) {
            return cause;
        }
    }
    if (isError(result, ErrorKind::ConfigurationStale)) {
        return this->causeOfStale(last);
    }
    if (isError(result, ErrorKind::Unauthorized) || isError(result, ErrorKind::NotFound)) {
        return why + " in configuration " + last.field("config");
    }
    if (isError(result, ErrorKind::HostStopping)) {
        return "host " + last.host + " was stopping";
    }
    if (result == outcome::ServerFailed) {
        return "server " + server + " itself returned status " + last.field("status");
    }
    if (isError(result, ErrorKind::Overloaded) || isError(result, ErrorKind::NoServer)) {
        return this->causeOfNoPlace(last);
    }
    if (auto pause = this->findPause(last)) {
        return pause;
    }
    if (result == outcome::CallerGone && !server.empty()) {
        const bool began = parseNumber(last.field("first_ms")) > 0;
        return "its caller disconnected after " + formatSeconds(parseNumber(last.field("total_ms")) / 1000)
            + "; server " + server
            + (began ? " was still answering" : " had not begun to answer, which was expected after ")
            + (began ? "" : formatSeconds(parseNumber(last.field("expected_ms")) / 1000));
    }
    return this->causeOfFailure(last, server);
}

std::string LogIndex::causeOfStale(const LogEntry &last) const
{
    const LogEntry *lost = nullptr;
    const LogEntry *started = nullptr;
    for (const LogEntry *entry : this->linesAround(last, Seconds(config::LogCauseStaleSpan).count(), 0)) {
        const bool isOwn = entry->host == last.host;
        if (isOwn && entry->event == "started") {
            started = entry;
            lost = nullptr;
        } else if (isOwn && entry->event == "dependency_lost" && entry->field("dependency") == "log") {
            lost = lost == nullptr ? entry : lost;
        } else if (isOwn && entry->event == "dependency_regained" && entry->field("dependency") == "log") {
            lost = nullptr;
        }
    }
    if (lost != nullptr) {
        return "host " + last.host + " had lost contact with the log " + formatSeconds(last.at - lost->at) + " before ("
            + lost->field("why") + ")";
    }
    if (started != nullptr) {
        return "host " + last.host + " had started " + formatSeconds(last.at - started->at)
            + " before and had not read the configuration yet";
    }
    return "host " + last.host + " had received no answer from the log for some time; no line shows why";
}

// Returns nothing when the request was not refused.
std::optional<std::string> LogIndex::causeOfRefusal(RefusalCause cause, const LogEntry &last) const
{
    switch (cause) {
    case RefusalCause::ServersRest:
        return "all servers of the service had asked host " + last.host + " to pause";
    case RefusalCause::IdenticalCrashes:
        return "it was refused because several servers had crashed while they ran identical requests";
    case RefusalCause::PartCrashes:
        return "it was refused because several servers had crashed while they ran requests with a part of its prompt";
    case RefusalCause::ConfigurationStale:
        return this->causeOfStale(last);
    case RefusalCause::HostStopping:
    case RefusalCause::StopBeforeAnswer:
        return "host " + last.host + " was stopping";
    case RefusalCause::InputEnded:
        return "its caller closed its sending direction while the request waited for a server";
    case RefusalCause::NoPlaceInTime:
    case RefusalCause::QueueFull:
    case RefusalCause::TooLittleTime:
    case RefusalCause::NotRunAnswers:
    case RefusalCause::NoServer:
    case RefusalCause::NoPlaceExpected:
    case RefusalCause::StandingQueue:
        return this->causeOfNoPlace(last);
    case RefusalCause::None:
    case RefusalCause::Count:
        break;
    }
    return std::nullopt;
}

std::string LogIndex::causeOfNoPlace(const LogEntry &last) const
{
    std::set<std::string> gone;
    std::set<std::string> loading;
    std::set<std::string> unreachable;
    for (const LogEntry *entry : this->linesAround(last, Seconds(config::LogCauseFailureSpan).count(), 0)) {
        const std::string server = entry->field("server");
        if (entry->event == "server_gone") {
            gone.insert(server);
        } else if (entry->event == "server_listed") {
            gone.erase(server);
            unreachable.erase(server);
        } else if (entry->event == "weights_ordered"
                   && last.at - entry->at < Seconds(config::LogCauseLoadSpan).count()) {
            loading.insert(server);
        } else if (entry->event == "server_unreachable") {
            unreachable.insert(server);
        }
    }
    const std::string counts = "of " + last.field("known") + " servers " + last.field("open")
        + " accepted requests, of which " + last.field("full") + " were full";
    if (!loading.empty()) {
        return std::to_string(loading.size()) + " servers had been ordered to load weights shortly before; " + counts;
    }
    if (!gone.empty()) {
        return std::to_string(gone.size()) + " servers had disappeared from the list shortly before, among them "
            + *gone.rbegin() + "; " + counts;
    }
    if (!unreachable.empty()) {
        return std::to_string(unreachable.size()) + " servers were unreachable shortly before, among them "
            + *unreachable.rbegin() + "; " + counts;
    }
    return "overload: " + counts;
}

std::string LogIndex::causeOfFailure(const LogEntry &last, const std::string &server) const
{
    if (server.empty()) {
        return last.field("why").empty() ? "its caller disconnected before it was sent" : last.field("why");
    }
    std::size_t failures = 0;
    for (const LogEntry *entry : this->linesAround(
             last, Seconds(config::LogCauseLoadSpan).count(), Seconds(config::LogCauseFailureSpan).count())) {
        if (entry->field("server") != server) {
            continue;
        }
        const bool isBefore = entry->at <= last.at;
        if (entry->event == "server_gone") {
            return "server " + server + " died: it disappeared from the list "
                + (isBefore ? formatSeconds(last.at - entry->at) + " before"
                            : formatSeconds(entry->at - last.at) + " later");
        }
        if (entry->event == "weights_ordered" && isBefore) {
            return "server " + server + " had been ordered to load weights " + formatSeconds(last.at - entry->at)
                + " before";
        }
        const bool isFailure = entry->event == "attempt_failed" || entry->event == "server_unreachable";
        failures += isFailure && entry->field("request") != last.field("request") ? 1 : 0;
    }
    if (failures > 0) {
        return "server " + server + " failed " + std::to_string(failures) + " other requests at about the same time";
    }
    const std::string waited = parseNumber(last.field("first_ms")) > 0 ? "broke off its answer" : "gave no answer";
    return "server " + server + " " + waited + " (" + last.field("why")
        + "); it failed no other request at about the same time";
}

// Finds a long gap between the lines of the host while it had the request. A running host under load logs at least one
// line each second.
std::optional<std::string> LogIndex::findPause(const LogEntry &last) const
{
    const double span = std::max(parseNumber(last.field("total_ms")) / 1000, 0.0);
    const LogEntry *before = nullptr;
    double longest = 0;
    for (const LogEntry *entry : this->linesAround(last, span + 1, 0)) {
        if (entry->host != last.host) {
            continue;
        }
        longest = before == nullptr ? longest : std::max(longest, entry->at - before->at);
        before = entry;
    }
    if (longest < Seconds(config::LogCausePauseLeast).count()) {
        return std::nullopt;
    }
    return "host " + last.host + " was paused for " + formatSeconds(longest) + " during the request";
}

} // namespace endivespan
