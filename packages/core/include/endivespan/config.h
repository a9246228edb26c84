#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

/// Every tunable of the system, with its unit in its type or name.
namespace endivespan::config {

using namespace std::chrono_literals;

// Frame
constexpr std::chrono::milliseconds TickPeriod = 20ms;

// Callers
constexpr std::size_t MaxBodyBytes = 4 * 1024 * 1024;
constexpr std::size_t MaxHeaderBytes = 32 * 1024;
constexpr std::chrono::seconds CallerReadTimeout = 10s;
constexpr std::chrono::seconds DefaultDeadline = 30s;
constexpr std::uint32_t DefaultRequestsInFlight = 4096;
constexpr std::chrono::milliseconds StreamHeartbeatPeriod = 1000ms;

// Backend servers
constexpr std::chrono::milliseconds ConnectTimeout = 500ms;
constexpr std::chrono::milliseconds StreamSilenceTimeout = 3000ms;
constexpr std::chrono::milliseconds LoadReportPeriod = 200ms;
constexpr std::chrono::milliseconds LoadReportStaleAfter = 1500ms;

// Prefix pieces
constexpr std::size_t PieceTokens = 4000;
constexpr std::size_t BytesPerToken = 4;
constexpr std::size_t PieceBytes = PieceTokens * BytesPerToken;
constexpr std::size_t MaxPieces = 64;

// Log
constexpr std::chrono::milliseconds LogPollPeriod = 250ms;
constexpr std::chrono::milliseconds LogCallTimeout = 2000ms;
constexpr std::size_t LogReadRecords = 512;

// Configuration
constexpr std::chrono::seconds ConfigurationStalenessBound = 4s;
constexpr std::chrono::seconds LeavingBound = 5s;
constexpr std::chrono::milliseconds ConfigurationLongPoll = 1000ms;
constexpr std::chrono::milliseconds ConfigurationReadOverdue = 500ms; // A second read starts on a new connection.
constexpr std::chrono::milliseconds ConfigurationBackoffLeast = 100ms;
constexpr std::chrono::milliseconds ConfigurationBackoffMost = 1000ms;
constexpr std::size_t MaxNoteBytes = 1024 * 1024;
constexpr std::size_t MaxNoteReasonBytes = 512;
constexpr std::size_t NoteOutcomesKept = 1024;
constexpr std::size_t DigestHistoryKept = 64;
constexpr std::size_t MaxOrganisations = 65536;
constexpr std::size_t MaxModels = 256;
constexpr std::size_t MaxServices = 256;
constexpr std::size_t MaxDomains = 64;
constexpr std::size_t MaxServers = 4096;
constexpr std::size_t MaxKeysPerOrganisation = 16;
constexpr std::size_t SnapshotPartEntries = 256;
constexpr std::size_t SnapshotAppendParts = 8;
constexpr std::size_t SnapshotsInAssembly = 4;
constexpr std::uint64_t SnapshotRecords = 2048;
constexpr std::chrono::hours SnapshotPeriod = 12h;
constexpr std::chrono::seconds SnapshotSpread = 30s;
constexpr std::chrono::seconds SnapshotCheckPeriod = 1s;

// Claims

// Membership and peer links

// Leases and ownership

// Credits of cold servers

// Poison requests

// Routing and directory

// Keeping pieces

// Admission

} // namespace endivespan::config
