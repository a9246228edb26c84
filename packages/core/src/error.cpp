#include <endivespan/error.h>

#include <array>
#include <cstddef>

namespace endivespan {

namespace {

constexpr auto N = RunState::NotRun;
constexpr auto R = RunState::Ran;
constexpr auto U = RunState::Unknown;

constexpr std::array<ErrorAnswer, static_cast<std::size_t>(ErrorKind::Count)> Table {{
    {ErrorKind::BadRequest, "bad_request", 400, N, false},
    {ErrorKind::BodyTooLarge, "body_too_large", 413, N, false},
    {ErrorKind::Unauthorized, "unauthorized", 401, N, false},
    {ErrorKind::NotPermitted, "not_permitted", 403, N, false},
    {ErrorKind::UnknownModel, "unknown_model", 404, N, false},
    {ErrorKind::UnknownService, "unknown_service", 404, N, false},
    {ErrorKind::NotFound, "not_found", 404, N, false},
    {ErrorKind::MethodNotAllowed, "method_not_allowed", 405, N, false},
    {ErrorKind::Overloaded, "overloaded", 503, N, true},
    {ErrorKind::OrganisationOverLimit, "organisation_over_limit", 429, N, true},
    {ErrorKind::NoServer, "no_server", 503, N, true},
    {ErrorKind::DeadlineExceeded, "deadline_exceeded", 504, N, true},
    {ErrorKind::HostNotReady, "host_not_ready", 503, N, true},
    {ErrorKind::ConfigurationStale, "configuration_stale", 503, N, true},
    {ErrorKind::HostStopping, "host_stopping", 503, N, true},
    {ErrorKind::LogUnavailable, "log_unavailable", 503, N, true},
    {ErrorKind::InProgress, "in_progress", 409, U, true},
    {ErrorKind::OutcomeUnknown, "outcome_unknown", 502, U, false},
    {ErrorKind::KeyReused, "key_reused", 422, N, false},
    {ErrorKind::AnswerNotKept, "answer_not_kept", 410, R, false},
    {ErrorKind::PoisonRequest, "poison_request", 422, U, false},
    {ErrorKind::BackendFailed, "backend_failed", 502, U, true},
    {ErrorKind::BackendUnreachable, "backend_unreachable", 503, N, true},
    {ErrorKind::StreamCut, "stream_cut", 502, U, true},
    {ErrorKind::BadSettings, "bad_settings", 500, N, false},
    {ErrorKind::BadNote, "bad_note", 422, N, false},
    {ErrorKind::NoteConflict, "note_conflict", 409, N, false},
    {ErrorKind::Timeout, "timeout", 504, U, true},
    {ErrorKind::ConnectionFailed, "connection_failed", 502, N, true},
    {ErrorKind::ProtocolError, "protocol_error", 502, U, false},
    {ErrorKind::Internal, "internal", 500, U, false},
}};

constexpr bool tableFollowsEnumeration()
{
    for (std::size_t i = 0; i < Table.size(); ++i) {
        if (static_cast<std::size_t>(Table[i].kind) != i) {
            return false;
        }
    }
    return true;
}

static_assert(tableFollowsEnumeration(),
              "Table must have one entry for each error kind, in the order of the enumeration");

} // namespace

const ErrorAnswer &errorAnswer(ErrorKind kind)
{
    return Table.at(static_cast<std::size_t>(kind));
}

ErrorKind kindAfterRun(ErrorKind kind)
{
    if (errorAnswer(kind).run != RunState::NotRun) {
        return kind;
    }
    return kind == ErrorKind::DeadlineExceeded ? ErrorKind::Timeout : ErrorKind::BackendFailed;
}

std::span<const ErrorAnswer> errorTable()
{
    return Table;
}

std::string_view runStateName(RunState run)
{
    switch (run) {
    case RunState::NotRun:
        return "not-run";
    case RunState::Ran:
        return "ran";
    case RunState::Unknown:
        break;
    }
    return "unknown";
}

} // namespace endivespan
