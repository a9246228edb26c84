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

// Membership and peer links

// Leases and ownership

// Credits of cold servers
constexpr std::chrono::seconds CreditTtl = 2s;
constexpr std::chrono::seconds CreditRunBound = 30s;
constexpr std::chrono::milliseconds CreditClockMargin = 200ms;
constexpr std::chrono::milliseconds CreditAskTimeout = 500ms;
constexpr unsigned CreditEpochBits = 20;

// Poison requests
constexpr std::size_t SuspectTableSize = 4096;
constexpr std::chrono::minutes SuspectRetention = 10min;
constexpr std::size_t DeathsUntilRefused = 2;
constexpr std::size_t DeathsKept = 4;
constexpr std::chrono::seconds SuspectPermitTtl = 2s;
constexpr std::chrono::seconds SuspectRunBound = 30s;

// Routing and directory

// Keeping pieces

// Admission

} // namespace endivespan::config
