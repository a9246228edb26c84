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

// Claims
constexpr std::uint32_t ClaimShards = 16;
constexpr std::chrono::hours ClaimWindow = 24h;
constexpr std::size_t MaxClaimsPerShard = 65'536;
constexpr std::size_t MaxClaimAnswerBytes = 64 * 1024;
constexpr std::size_t MaxShardAnswerBytes = 8 * 1024 * 1024;
constexpr std::size_t MaxPendingSnapshots = 4;
constexpr std::size_t ClaimSnapshotChunkBytes = 256 * 1024;
constexpr std::chrono::milliseconds ClaimAppendGap = 50ms;
constexpr std::size_t MaxClaimBatchRecords = 128;
constexpr std::size_t MaxClaimBatchBytes = 512 * 1024;
constexpr std::size_t MaxClaimsWaiting = 1024;
constexpr std::size_t MaxClaimRecordsOwed = 4096;
constexpr std::size_t MaxClaimBytesOwed = 4 * 1024 * 1024;
constexpr std::chrono::milliseconds ClaimWaitLimit = 2500ms;
constexpr std::chrono::milliseconds ClaimGrantLimit = 2000ms;
constexpr std::chrono::milliseconds ClaimRetryDelay = 500ms;
constexpr std::chrono::milliseconds ClaimInProgressRetry = 1000ms;
constexpr std::chrono::milliseconds ClaimReadPeriod = 5000ms;
constexpr std::chrono::minutes ClaimSnapshotPeriod = 10min;
constexpr std::uint32_t ClaimLogFailuresUntilDown = 2;

// Membership and peer links

// Leases and ownership

// Credits of cold servers

// Poison requests

// Routing and directory

// Keeping pieces

// Admission

} // namespace endivespan::config
