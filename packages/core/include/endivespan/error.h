#pragma once

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>

#include <span>
#include <string>
#include <string_view>

/// All error kinds, and the answer that a caller receives for each.
namespace endivespan {

/// Errors of requests, settings and calls to other processes.
enum class ErrorKind {
    BadRequest,
    BodyTooLarge,
    Unauthorized,
    NotPermitted,
    UnknownModel,
    UnknownService,
    NotFound,
    MethodNotAllowed,
    Overloaded,
    OrganisationOverLimit,
    NoServer,
    DeadlineExceeded,
    HostNotReady,
    ConfigurationStale,
    HostStopping,
    LogUnavailable,
    InProgress,
    OutcomeUnknown,
    KeyReused,
    AnswerNotKept,
    PoisonRequest,
    BackendFailed,
    BackendUnreachable,
    StreamCut,
    BadSettings,
    BadNote,
    NoteConflict,
    Timeout,
    ConnectionFailed,
    ProtocolError,
    Internal,
    Count,
};

/// Whether a backend server ran the request; tells a caller whether a repeat could run it twice.
enum class RunState {
    NotRun,
    Ran,
    Unknown,
};

/// The answer to a caller for one error kind.
struct ErrorAnswer {
    ErrorKind kind;
    std::string_view name; ///< Identifier in answer bodies, logs and metrics; never changes.
    int httpStatus;
    RunState run;
    bool retryable; ///< True when the same request may succeed later.
};

/// An error kind with a description of the particular case for people.
struct Error {
    ErrorKind kind = ErrorKind::Internal;
    std::string detail;
};

/// A value of type @p T, or an Error.
template<typename T>
using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::terminate>;

/// @returns the answer for @p kind.
const ErrorAnswer &errorAnswer(ErrorKind kind);

/// @returns @p kind, or in its place a kind that does not say "not run", for an error of a request that may have run.
ErrorKind kindAfterRun(ErrorKind kind);

/// @returns the whole table, one entry for each kind in the order of the enumeration.
std::span<const ErrorAnswer> errorTable();

/// @returns "not-run", "ran" or "unknown".
std::string_view runStateName(RunState run);

} // namespace endivespan
