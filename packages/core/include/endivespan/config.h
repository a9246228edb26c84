#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

/// Compile-time constants of the system. The type or the name of a constant gives its unit.
namespace endivespan::config {

using namespace std::chrono_literals;

// Main loop
constexpr std::chrono::milliseconds TickPeriod = 20ms;

/// From the start of a stop until the host accepts no more connections. The load balancer needs this time to see that
/// the host is not ready; until then new requests are refused with an answer.
constexpr std::chrono::milliseconds StopAcceptDelay = 1000ms;

// Callers
constexpr std::size_t MaxBodyBytes = 4 * 1024 * 1024; ///< Of a request.
constexpr std::size_t MaxHeaderBytes = 32 * 1024; ///< Of a request.
constexpr std::chrono::seconds CallerReadTimeout = 10s; ///< Without progress while a request is read or answered.
constexpr std::chrono::seconds CallerIdleTimeout = 75s; ///< Longer than load balancers usually keep idle connections.
constexpr std::chrono::milliseconds CallerLingerTime = 1000ms; ///< For a caller to read the last answer before a close.
/// Between checks whether a caller that has closed its sending direction has reset its connection.
constexpr std::chrono::milliseconds CallerResetCheckPeriod = 100ms;
constexpr std::size_t PipelinedBytes = 64 * 1024; ///< Input buffered from a connection while its request is answered.
constexpr std::size_t PipelinedBytesLeast = 4 * 1024; ///< The same while requests hold much memory.
/// Bytes of answers that a caller has not read, beyond which its next request is not taken.
constexpr std::size_t PipelinedAnswerBytes = 16 * 1024;
constexpr std::chrono::milliseconds AcceptPause = 100ms; ///< After accept() failed for lack of file descriptors.
/// Of requests that a host holds for all callers, unless the settings name the memory of its machine.
constexpr std::size_t RequestBytes = 64 * 1024 * 1024;
constexpr double RequestBytesShare = 0.25; ///< Part of the machine's memory for requests.
/// Of a request that is not refused for what others hold, and the part (1/n) of the limit that such requests may use
/// beyond it.
constexpr std::size_t SmallRequestBytes = 64 * 1024;
constexpr std::size_t SmallRequestsPart = 4;
/// Part (1/n) of the limit from which little input is buffered behind a request.
constexpr std::size_t CrowdedPart = 4;
/// Requests passed over, in one search for those to refuse, since bytes of theirs wait to be read.
constexpr std::size_t RefusalsPassedOver = 8;
/// Counted for a request that is being answered, beside its head and body.
constexpr std::size_t RequestRunBytes = 4096;
/// Multiple of the size of a head that is counted for its copies and for the parts of a prompt that it names, and the
/// bytes counted for each of its fields.
constexpr std::size_t HeadCopies = 24;
constexpr std::size_t HeaderFieldBytes = 512;
constexpr std::size_t SideRequestBytes = 4 * 1024 * 1024; ///< The same for readiness checks and reads of metrics.
/// Counted for a connection beside its request: its object, its buffers and the parser.
constexpr std::size_t CallerConnectionBytes = 4096;
/// Parts (1/n) of the process's file descriptors that connections with an incomplete request may use, and those that
/// have been refused and not yet closed. The rest is for other callers and for servers.
constexpr std::size_t IncompleteDescriptorsPart = 2;
constexpr std::size_t RefusedDescriptorsPart = 8;
constexpr std::size_t BodyBlockBytes = 64 * 1024; ///< Largest block that a body is received into.
constexpr std::size_t BodyBlockLeast = 1024; ///< Smallest one.
/// Up to this size the unparsed input of a connection is moved to a buffer of its size, which costs less than the
/// buffer of a whole read.
constexpr std::size_t ShortInputBytes = 512;
/// For which a refused caller may go on sending before its connection is closed.
constexpr std::chrono::seconds RefusedSendTime = 10s;
/// Named to callers that are refused for lack of memory, in seconds; from the least one up to the sum of both.
constexpr std::uint64_t RefusedRetryLeast = 1;
constexpr std::uint64_t RefusedRetrySpread = 2;
constexpr int CallerBacklog = 1024; ///< listen() backlog: connections that wait to be accepted.
constexpr std::chrono::seconds DefaultDeadline = 30s; ///< Of a request, unless the settings or its caller name another.
constexpr std::uint32_t DefaultRequestsInFlight = 4096; ///< Limit of one host, unless the settings name another.
constexpr std::chrono::milliseconds StreamHeartbeatPeriod = 1500ms; ///< Between heartbeats to the caller of a stream.

/// Least time after which a refused caller is told to retry.
constexpr std::chrono::milliseconds RetryHintBase = 500ms;
/// Width of the random time added to RetryHintBase, so that refused callers do not all return at once.
constexpr std::chrono::milliseconds RetryHintSpread = 1000ms;
/// Of an answer unread by its caller; beyond it the run is aborted.
constexpr std::size_t CallerBacklogBytes = 1024 * 1024;
constexpr std::uint32_t DefaultMaxTokens = 64; ///< Of an answer, when the request names no limit.
constexpr std::uint32_t MaxTokensLimit = 8192; ///< Largest limit that a request may name.
constexpr std::size_t ExplainRequests = 4096; ///< Latest requests whose decisions are kept for /explain.
constexpr std::size_t ExplainDecisionsPerRequest = 32;

// Backend servers
constexpr std::uint32_t PromptAttempts = 6; ///< Of one prompt, at most.
constexpr std::chrono::milliseconds AttemptPause = 20ms; ///< Before the next attempt, times the attempts made so far.
constexpr std::chrono::milliseconds ConnectTimeout = 500ms;
/// TCP_USER_TIMEOUT; longer than a sound server or its link may be silent, with a retransmission behind that.
constexpr std::chrono::milliseconds UnacknowledgedTimeout = 3000ms;
constexpr std::chrono::seconds UnreadTimeout
    = 5s; ///< The same for a request that may fill its server's receive window.
constexpr std::size_t ShortRequestBytes = 4096; ///< Of a request that fits into any receive window.
constexpr std::chrono::seconds KeepAliveProbeIdle = 1s; ///< The smallest value that the socket option takes.
constexpr int KeepAliveProbes = 2; ///< Unanswered TCP keep-alive probes that end a connection, after 3 s of silence.
/// Subtracted from the keep-alive time that a server grants, so that a request arrives before the server closes.
constexpr std::chrono::milliseconds KeepAliveMargin = 300ms;
constexpr std::chrono::milliseconds StreamSilenceTimeout = 3000ms; ///< Without a byte of an answer; then a call fails.
constexpr std::chrono::milliseconds LoadReportPeriod = 200ms; ///< Between polls of the runners' load reports.
constexpr std::chrono::milliseconds StoreListPeriod = 500ms; ///< Between calls that list the pieces of a store.
constexpr std::size_t StoreListPieces = 1000; ///< In one page of such a list.
constexpr std::size_t MaxVersionNames = 256; ///< Weight versions that have a handle at a time.
constexpr std::chrono::milliseconds LoadReportStaleAfter = 1500ms; ///< Age from which a report says nothing any more.

// Prefix pieces
constexpr std::size_t PieceTokens = 4000;
constexpr std::size_t BytesPerToken = 4; ///< Estimate by which the length of a prompt is converted to tokens.
constexpr std::size_t PieceBytes = PieceTokens * BytesPerToken;
constexpr std::size_t MaxPieces = 64; ///< Of one prompt; the rest of a longer prompt is not shared.

// Log
constexpr std::chrono::milliseconds LogPollPeriod = 250ms; ///< Between reads, also after a failed one.
constexpr std::chrono::milliseconds LogCallTimeout = 2000ms; ///< Without a byte of the log service's answer.
constexpr std::size_t LogReadRecords = 512; ///< In one read.

// Configuration
/// Time after which a host that could not confirm its configuration refuses requests.
constexpr std::chrono::seconds ConfigurationStalenessBound = 4s;
constexpr std::chrono::milliseconds HostListPeriod = 1000ms; ///< Between reads of the list of hosts.
constexpr std::chrono::seconds LeavingBound = 5s;
constexpr std::chrono::milliseconds ConfigurationLongPoll = 1000ms; ///< That a read waits for a new record.
/// Beyond the time that a read may wait. A second read then starts, since the connection may have failed silently.
constexpr std::chrono::milliseconds ConfigurationReadOverdue = 500ms;
constexpr std::size_t ConfigurationReadsAtOnce = 2;
constexpr std::size_t ConfigurationReadRecords = 64; ///< In one read.
/// Without an answer of the log; then the configuration is fetched from a peer.
constexpr std::chrono::milliseconds ConfigurationPeerFetchAfter = 2000ms;
constexpr std::chrono::milliseconds ConfigurationBackoffLeast = 100ms; ///< After the first failed read; then doubled.
constexpr std::chrono::milliseconds ConfigurationBackoffMost = 1000ms;
constexpr std::size_t MaxNoteBytes = 1024 * 1024; ///< Of an encoded release note.
constexpr std::size_t MaxNoteReasonBytes = 512; ///< Of the reason why a note was refused; longer ones are cut.
constexpr std::size_t MaxAuthorBytes = 128;
constexpr std::size_t NoteOutcomesKept = 1024; ///< Part of the folded state, so every host keeps the same ones.
constexpr std::size_t DigestHistoryKept = 64; ///< Digests of earlier states, to compare with other hosts.
constexpr std::size_t MaxOrganisations = 65536;
constexpr std::size_t MaxModels = 256;
constexpr std::size_t MaxServices = 256;
constexpr std::size_t MaxDomains = 64; ///< Failure domains.
constexpr std::size_t MaxServers = 4096;
constexpr std::size_t MaxKeysPerOrganisation = 16;
constexpr std::size_t SnapshotPartEntries = 256; ///< Entries and outcomes in one part of a snapshot.
constexpr std::size_t SnapshotAppendParts = 8; ///< In one append.
constexpr unsigned SnapshotAppendAttempts = 4; ///< For each such append, when its outcome is unknown.
constexpr std::size_t SnapshotsInAssembly = 4; ///< Snapshots of which only some parts have been read.
constexpr std::uint64_t SnapshotRecords = 2048; ///< Records since the last snapshot that make a new one due.
constexpr std::chrono::hours SnapshotPeriod = 12h; ///< Age of the last snapshot that makes a new one due.
/// Largest random delay of a snapshot that is due, while the hosts have no rank.
constexpr std::chrono::seconds SnapshotSpread = 5s;
/// Delay for each rank of a host, so that the first one usually writes the snapshot alone.
constexpr std::chrono::seconds SnapshotRankStep = 2s;
constexpr std::chrono::seconds SnapshotCheckPeriod = 1s; ///< Between checks whether a snapshot is due.

// Claims
constexpr std::uint32_t ClaimShards = 16; ///< Streams of the log that the claims are spread over.
constexpr std::chrono::hours ClaimWindow = 24h; ///< For which a claim and its answer are kept.
constexpr std::size_t MaxClaimsPerShard = 65'536;
constexpr std::size_t MaxClaimAnswerBytes = 64 * 1024; ///< Of one recorded answer; larger ones are not kept.
constexpr std::size_t MaxShardAnswerBytes = 8 * 1024 * 1024; ///< Of all recorded answers of one shard.
constexpr std::size_t MaxPendingClaimSnapshots = 4; ///< Claim snapshots of which only some chunks have been read.
constexpr std::size_t ClaimSnapshotChunkBytes = 256 * 1024;
constexpr std::chrono::milliseconds ClaimAppendGap = 50ms; ///< Least time between two appends to one shard.
constexpr std::size_t MaxClaimBatchRecords = 128; ///< In one append.
constexpr std::size_t MaxClaimBatchBytes = 512 * 1024; ///< In one append.
constexpr std::size_t MaxClaimsWaiting = 1024; ///< Requests that wait for the log.
constexpr std::size_t MaxClaimRecordsOwed = 4096; ///< Outcomes that the log has not accepted yet.
constexpr std::size_t MaxClaimBytesOwed = 4 * 1024 * 1024; ///< Of these outcomes.
constexpr std::chrono::milliseconds ClaimWaitLimit = 1500ms; ///< Without a verdict; then a request is refused.
constexpr std::chrono::milliseconds ClaimGrantLimit = 2000ms; ///< A grant that is not used for this long is void.
constexpr std::chrono::milliseconds ClaimRetryDelay = 500ms; ///< After a failed call to the log.
/// When a caller whose key is in progress may retry, at most.
constexpr std::chrono::milliseconds ClaimInProgressRetry = 1000ms;
constexpr std::chrono::milliseconds ClaimReadPeriod = 5000ms; ///< Between reads while no request waits.
constexpr std::chrono::minutes ClaimSnapshotPeriod = 10min;
constexpr std::uint32_t ClaimLogFailuresUntilDown = 2; ///< Failed calls after which the log counts as unavailable.
constexpr std::size_t ClaimReadRecords = 64; ///< In one read.
constexpr std::chrono::seconds ClaimStopLimit = 5s; ///< Time that a stop waits for the log to take open outcomes.
constexpr double ClaimAppendsPerSecond = 200.0; ///< Of all hosts together.
constexpr double ClaimAppendBurst = 8.0; ///< Appends that one host may make at once.
constexpr std::size_t MaxIdempotencyKeyBytes = 255;
constexpr std::uint32_t ServiceAttempts = 3; ///< Of one request to a plain service.
constexpr std::size_t MaxServiceHeaders = 64; ///< Of one request that are passed on to a plain service.

// Membership and peer links
constexpr std::size_t MaxHosts = 1024;
constexpr std::size_t HostIdBytes = 5; ///< Of the hash of a host's name that stands for it in gossip.
constexpr std::chrono::milliseconds HeartbeatPeriod = 1500ms; ///< At the least.
/// The heartbeat period grows with the fleet, so that all heartbeats fit into GossipBytesPerSecond with each one
/// passed on HeartbeatSends times.
constexpr std::chrono::milliseconds HeartbeatPeriodPerHost = 40ms;
/// Times that a host passes on each heartbeat; after that only HeartbeatsInTurn such heartbeats go into a message.
constexpr std::uint32_t HeartbeatSends = 3;
constexpr std::size_t HeartbeatsInTurn = 2;
constexpr int HeartbeatsMissed = 3; ///< Heartbeat periods without a heartbeat until a host is suspected.
constexpr int SpreadRoundsMargin = 3; ///< Gossip rounds to reach all hosts, beyond the logarithm of their number.
constexpr std::chrono::hours DeadHostRetention = 24h; ///< Until a dead host is forgotten.
constexpr std::chrono::milliseconds GossipPeriod = 500ms; ///< Twice as long in a fleet above LargeFleetHosts.
constexpr std::size_t GossipBytesPerSecond = 1100; ///< Sent by one host, on average.
constexpr std::size_t GossipBurstBytes = 4096; ///< Unused budget that a host may save up.
constexpr std::size_t GossipMessageBytes = 600; ///< Of a message, except to a peer that asked for missing reports.
constexpr std::size_t GossipNeighbours = 8; ///< Hosts that one host gossips with.
constexpr std::size_t GossipUrgentFanout = 3; ///< Targets of a round that carries a new own status or suspicion.
constexpr std::uint64_t GossipRoundsPerNeighbourChange = 20; ///< Then one neighbour is replaced by a random host.
/// Rounds between two probes of a seed or a dead host, at the least; in larger fleets as many as there are hosts.
constexpr std::uint64_t GossipRoundsPerProbe = 8;
constexpr std::size_t GossipLeastBytes = 160; ///< Of a message, granted also when the budget is used up.
constexpr std::size_t GossipUrgentBytes = 2048; ///< Budget that must be left for a round outside the regular period.
constexpr std::chrono::milliseconds GossipUrgentPause = 100ms; ///< Least time between such a round and the last one.
constexpr std::size_t UrgentInEachMessage = 2; ///< Suspicions with most crashes that each message repeats.
constexpr std::size_t RefusedInTurn = 4; ///< Suspicions of refused requests repeated in each message, in turn.
constexpr std::size_t GossipPeersRemembered = 32; ///< Peers whose known state is kept, to send only what they lack.
/// Times that a change is passed on, beyond the logarithm of the number of hosts.
constexpr std::uint32_t GossipSendsMargin = 3;
constexpr std::size_t LargeFleetHosts = 64;
constexpr std::int32_t PeerProtocol = 1; ///< Version of the protocol; peers with another one are disconnected.
constexpr std::size_t MaxPeerFrameBytes = 4 * 1024 * 1024;
constexpr std::size_t MaxPeerQueueBytes = 8 * 1024 * 1024; ///< Unsent output of one connection.
constexpr std::size_t MaxPeerConnections = 1024;
constexpr int PeerBacklog = 128; ///< listen() backlog.
constexpr std::chrono::seconds PeerIdleBound = 30s; ///< After which an unused connection closes.
constexpr std::chrono::milliseconds PeerTimeout = 1500ms; ///< For an answer of a peer.
constexpr std::size_t MaxServerNotes = 2048; ///< Servers whose state is passed on by gossip.
constexpr std::size_t ConfirmationDigestsKept = 64; ///< Of earlier offsets, to confirm a configuration with peers.

// Leases and ownership
constexpr std::size_t MaxOwningHosts = 24; ///< Hosts that share the leases; in a larger fleet the others hold none.
constexpr std::chrono::milliseconds LeaseTtl = 9000ms;
constexpr std::chrono::milliseconds LeaseRenewPeriod = 3000ms;
constexpr std::chrono::milliseconds LeaseRetryPeriod = 500ms; ///< After a renewal that the log did not apply.
constexpr std::chrono::milliseconds LeaseAcquirePeriod = 1000ms; ///< Between attempts to acquire or release leases.
/// The holder stops this long before a lease expires; others wait longer.
constexpr std::chrono::milliseconds LeaseClockMargin = 500ms;
/// Number of renewals of which one lists all leases of the host by name.
constexpr std::uint64_t LeaseRenewalsPerListing = 8;
/// Every lease is named within this many records, so that a host that starts need not read older ones.
constexpr std::uint64_t LeaseReplayRecords = 4096;
constexpr std::chrono::milliseconds LeaseReadWait = 1000ms; ///< That a read waits for a new record.
constexpr std::chrono::milliseconds OwnershipPeriod = 500ms; ///< Between computations of which host owns what.
/// After winning a lease, before a server that does not check fences is sent an order: until then it may still receive
/// orders of the previous holder.
constexpr std::chrono::seconds LongestOrderDeadline = 30s;

// Credits of cold servers
constexpr std::chrono::seconds CreditTtl = 2s; ///< In which a credit must be used.
constexpr std::chrono::seconds CreditRunBound = 30s; ///< Longest run under one credit.
/// Added by the owner to the lifetime of credits and permits.
constexpr std::chrono::milliseconds CreditClockMargin = 200ms;
constexpr std::chrono::milliseconds CreditAskTimeout = 500ms; ///< Then another request for credits may be sent.
constexpr std::chrono::milliseconds CreditAskPeriod = 300ms; ///< Between two requests to the owner of one server.
constexpr std::chrono::milliseconds CreditDemandKept = 1000ms; ///< For which credits are asked for after a demand.
constexpr std::uint32_t CreditsAsked = 4; ///< Credits in one request.
constexpr std::chrono::milliseconds CreditWaitLimit = 6000ms; ///< That a request waits for a credit.
constexpr std::chrono::milliseconds CreditRecheckPeriod = 50ms; ///< Between looks for a credit by a waiting request.
/// An epoch is the owner's fence shifted by these bits plus a count, so that those of a later owner are greater.
constexpr unsigned CreditEpochBits = 20;
constexpr std::chrono::milliseconds CreditReturnPause = 500ms; ///< Before an unanswered return of a credit is repeated.
constexpr std::size_t CreditReturnsKept = 256; ///< Unanswered returns that wait to be repeated.
/// Requests for credits of one server whose answer may come late.
constexpr std::size_t AbandonedCreditRequestsKept = 64;

// Poison requests
constexpr std::size_t SuspectTableSize = 4096; ///< Request fingerprints on which a host keeps suspicions.
constexpr std::chrono::minutes SuspectRetention = 10min; ///< After the last change of a suspicion.
constexpr std::size_t CrashesUntilRefused = 2; ///< Server crashes under one request after which it is refused.
constexpr std::size_t CrashesKept = 8; ///< Recorded for one request or part of a prompt.
/// Unexplained server crashes under requests with one part of a prompt after which requests with the part are refused.
constexpr std::size_t PartCrashesUntilRefused = 3;
/// A part is not refused for so long after a complete answer to a request with it.
constexpr std::chrono::seconds PartSoundTime = 2s;
/// For which a part that was answered completely explains no crash of another one.
constexpr std::chrono::seconds PartSoundMemory = 10s;
constexpr std::size_t SuspectsArchived = 256; ///< Suspicions that one host writes to the log and follows there.
/// Server crashes under one request from which its suspicion is written to the log.
constexpr std::size_t CrashesUntilArchived = 2;
constexpr std::chrono::milliseconds SuspectArchivePause = 500ms; ///< After a failed read or write of suspicions.
constexpr std::chrono::minutes SuspectSweepPeriod = 10min; ///< Between two removals of expired suspicions from the log.
constexpr std::size_t TrialsMost = 3; ///< Trials of one refused request or part by all hosts, until one is answered.
constexpr std::chrono::seconds TrialDelay = 1s; ///< From the latest crash until the first trial.
constexpr int TrialDelayGrowth = 8; ///< Factor by which the delay of each further trial is longer.
/// By which the hosts wait for each other, since only one of them gets the permit; grows with the logarithm of the
/// rank.
constexpr std::chrono::milliseconds TrialTurn = 300ms;
constexpr std::chrono::seconds TrialAskTime = 6s; ///< In which a host that asks for a permit has an answer.
constexpr std::size_t TrialAppends = 3; ///< Tries to write one permit while other hosts write permits too.
constexpr std::size_t SuspectPartsPerRequest = 16; ///< Parts of one prompt that are suspected, from the first one on.
constexpr std::size_t AnswersRemembered = 8192; ///< Requests and parts whose last complete answer is remembered.
constexpr std::chrono::seconds SuspectPermitTtl = 2s; ///< In which a permit to run a suspect alone must be used.
constexpr std::chrono::seconds SuspectRunBound = 30s; ///< Longest run under one permit.
/// The last bytes of a server that crashed may arrive this late, so they do not clear a request lost just before.
constexpr std::chrono::milliseconds CrashLastBytes = 100ms;
/// From a lost attempt until its server's address is tried.
constexpr std::chrono::milliseconds CrashProbeDelay = 200ms;
constexpr std::chrono::milliseconds CrashProbePeriod = 300ms; ///< Between two tries of the address.
constexpr std::uint32_t CrashProbes = 3; ///< Tries of the address; after these only the list of servers shows a crash.
/// For which a lost attempt counts as a possible crash without evidence.
constexpr std::chrono::milliseconds CrashUnsettledTime = 500ms;
/// For which evidence of a crash is awaited. Long, since the list may be late while the log is unreachable.
constexpr std::chrono::seconds CrashWatchTime = 15s;
constexpr std::size_t CrashWatchServers = 256;
constexpr std::size_t CrashWatchRequests = 256; ///< Requests and parts of prompts at each server.

// Routing and directory
constexpr std::size_t DirectoryServersPerPiece = 6; ///< Known holders of a piece in accelerator memory.
constexpr std::size_t DirectoryStoresPerPiece = 2; ///< Known stores that hold a copy of a piece.
constexpr std::size_t RouteSampledServers = 16; ///< Compared in each decision; smaller pools are compared whole.
constexpr std::size_t RouteListedCandidates = 4; ///< Kept in a decision, best first.
/// Candidates whose expected time exceeds the best by this share, plus RouteNearBestSlack, are drawn from at random.
constexpr double RouteNearBestShare = 0.05;
constexpr std::chrono::milliseconds RouteNearBestSlack = 2ms;
/// Age of a load report when it arrives, unless it is known. Used by the model of `bench`.
constexpr std::chrono::milliseconds LoadReportLag = 100ms;
constexpr std::chrono::milliseconds LoadReportDecayTime = 1000ms; ///< Age at which a report has lost 63% of its weight.
/// Time constant with which a link that was found slow is taken for a normal one again.
constexpr std::chrono::seconds LinkFactorDecayTime = 5s;
constexpr double RateSmoothing = 0.1; ///< Share of a new sample in a smoothed rate.
constexpr double StartPrefillTokensPerSecond = 20'000.0; ///< Of a runner, until one is reported.
constexpr double StartImportBytesPerSecond = 50e6; ///< Of a store's link, until one is reported.
constexpr double StartPieceBytes = 1e6; ///< Estimate of an import that the link's report does not include yet.
constexpr std::chrono::milliseconds StartRunTime = 1000ms; ///< Of a run, until one has ended.

// Keeping pieces
constexpr std::chrono::seconds ImportPinTime = 10s; ///< For which a store must not delete a piece that is imported.
/// A prefix that returns later than this counts as of no value for the decision which pieces to keep.
constexpr std::chrono::hours KeepHorizon = 24h;
constexpr double KeepHighWatermark = 0.95; ///< Share of a store's bytes at which deletion starts.
constexpr double KeepLowWatermark = 0.90; ///< Share at which deletion stops.
constexpr double KeepRoomyShare = 0.85; ///< Below this share every piece of positive value is exported.
constexpr std::chrono::milliseconds ExportLinkWaitBound = 50ms; ///< Exports wait while imports queue for longer.
constexpr std::chrono::seconds StartReturnGap = 3600s; ///< Between uses of a piece, before any return has been seen.
/// Share of pieces that are used again at all, before any have been seen.
constexpr double StartReturnShare = 0.3;
constexpr std::size_t ExportQueue = 4096; ///< Pieces.
constexpr std::size_t ExportsUnderWay = 4; ///< At once.

// Admission
constexpr std::size_t AdmissionQueueBound = 512; ///< Requests that wait on one host for one model.
constexpr std::uint32_t DecodeTokenCost = 50; ///< Prefill tokens that cost a runner as much as one answer token.
constexpr std::chrono::milliseconds AdmissionPrefillWindow = 250ms; ///< Prefill work sent ahead to each runner.
constexpr double AdmissionPrefillRuns = 1.0; ///< Typical prompts sent ahead to each runner, beyond that window.
/// Reserve for organisations within their share when others have used up the ordinary capacity, as a multiple of it.
constexpr double AdmissionReserve = 2.0;
/// Estimated time of the queued work beyond which requests are refused at once.
constexpr std::chrono::milliseconds AdmissionQueueTime = 2000ms;
constexpr std::chrono::seconds AdmissionUsageDecayTime = 10s; ///< Over which the use of an organisation is averaged.
/// Share of a host's capacity, for each unit of an organisation's weight, below which an organisation is light: it may
/// use the reserve.
constexpr double AdmissionLightShare = 0.0625;
/// Multiple of its share of the idle capacity that one host may use, on top of its share of the whole capacity.
constexpr double AdmissionBorrowFactor = 2.0;
constexpr double RetryBudgetShare = 0.1; ///< Retries granted for each success.
constexpr double RetryBudgetMax = 20.0; ///< Unused retries that are kept.
constexpr std::chrono::seconds RetryAfterMin = 1s;
constexpr std::chrono::seconds RetryAfterMax = 30s;

// Forwarded requests: servers and placement
constexpr std::chrono::seconds OutcomeDecayTime = 4s; ///< Over which outcomes of attempts at a server are averaged.
constexpr double OutcomePrior = 3.0; ///< Attempts without failure that each server starts with.
/// After a refusal of a full server. About one run: then a slot is free.
constexpr std::chrono::milliseconds RefusedPause = 60ms;
/// After a refusal of a server with free slots, which loads weights or is faulty.
constexpr std::chrono::milliseconds RefusedFreePause = 500ms;
constexpr std::chrono::milliseconds UnreachablePause = 400ms; ///< After the first failure to connect; then doubled.
/// Longest pause; the list of servers drops dead ones in about this time.
constexpr std::chrono::milliseconds UnreachablePauseMost = 3000ms;
/// Longest pause that a server may request; more is taken for a mistake.
constexpr std::chrono::seconds RestMost = 300s;
/// Hosts resume sending at random moments within this share of the requested pause, but at least RestReturnLeast.
constexpr double RestReturnShare = 0.2;
constexpr std::chrono::milliseconds RestReturnLeast = 200ms;
constexpr std::size_t LeftServersKept = 1024; ///< Servers whose announcement that they leave is remembered.
constexpr std::chrono::seconds ColdMost = 300s; ///< That a server may call itself cold; more is taken for a mistake.
/// Added to the one second that a bound on a cold server covers: requests may be delayed by different times on the way.
constexpr std::chrono::milliseconds ColdSpanMargin = 60ms;
/// Part of the bound on a cold server that the hosts share out; the rest covers hosts that join before the others count
/// them.
constexpr double ColdRightsShare = 0.9;
/// Chance that a server has the prefix in memory, by its place in the rendezvous order of the prefix.
constexpr std::array<double, 3> PrefixHitShares {0.8, 0.4, 0.2};
// Costs are added to the expected time of a candidate server. Some are scaled, for instance by its share of failures.
constexpr std::chrono::milliseconds FailureCost = 4000ms; ///< Of a server at which every request fails.
/// Silence of all streams of a server after which it is avoided. Longer than the prompts of other requests hold up all
/// streams.
constexpr std::chrono::milliseconds SilentAvoidAfter = 400ms;
constexpr std::chrono::milliseconds SilentCost = 1000ms; ///< Of a server whose streams are all silent.
constexpr std::chrono::milliseconds ColdCost = 30ms; ///< Of a cold server to which no bound applies.
constexpr std::chrono::milliseconds OtherDomainCost = 4ms; ///< Of another failure domain: one round trip.
constexpr std::chrono::milliseconds OldWeightsCost = 60ms; ///< Of an engine with older weights.
constexpr std::chrono::milliseconds LoadingCost = 400ms; ///< Of an engine that is to load weights now.
/// For each unit of time by which a run would delay the load of weights at its engine.
constexpr double LoadingOverlapCost = 0.1;
/// Part of each waiting prompt that its engine still has to prefill, on average.
constexpr double WaitingReadShare = 0.75;
/// Of each request at an engine, since each slows the steps of all.
constexpr std::chrono::microseconds RunningCost = 2000us;
constexpr std::chrono::milliseconds PlainRunCost = 60ms; ///< Of a plain server with all slots taken.

// Forwarded requests: stores of prompt parts
/// For which a view of a store is used, and its fetches count.
constexpr std::chrono::milliseconds StoreViewTime = 1200ms;
/// Age of a view up to which saves are planned by it. Parts are fetched later the longer it is.
constexpr std::chrono::milliseconds StoreSaveViewTime = 500ms;
/// Until a request with saves begins its answer, before any has been seen.
constexpr std::chrono::milliseconds StoreSaveStartGuess = 250ms;
constexpr double StoreFillShare = 0.97; ///< Part of a store's capacity; the rest covers parts that are being written.
/// Part of a store's capacity in use from which parts of replaced weights are searched for often.
constexpr double StoreNearlyFullShare = 0.9;
constexpr std::chrono::milliseconds StoreSaveAgain = 4000ms; ///< After a save that no event has confirmed.
/// That a store holds a request for events. Stores count shorter waits as probes.
constexpr std::chrono::milliseconds StoreEventsWait = 250ms;
/// Mean time between two such requests; spread out at random, since a store refuses hosts that all ask at once.
constexpr std::chrono::milliseconds StoreEventsPause = 250ms;
constexpr std::chrono::milliseconds StoreEventsTimeout = 600ms; ///< Beyond the wait.
/// Age of the operators' records up to which prompt parts are transferred and freed, and of the list of servers up to
/// which they are transferred. Covers two waiting reads.
constexpr std::chrono::milliseconds TransferFreshness = 2200ms;
/// After its last use no fetch of a part is still under way, so that it may be freed.
constexpr std::chrono::milliseconds FetchEndTime = StoreViewTime + 300ms;
/// After a change of the organisations that share parts, no host fetches those of an earlier scope any more.
constexpr std::chrono::milliseconds UnusedScopeTime = TransferFreshness + FetchEndTime;
constexpr std::size_t UnusedScopesKept = 256; ///< Parts of further ones stay until weights are replaced.
/// Part of the time for which older weights may be used, in which all of their parts are kept. A rollout may start
/// late.
constexpr double OldPartsKeptShare = 0.5;
constexpr std::size_t OldPartsVersions = 64; ///< Weight versions of a model whose naming times are kept.
/// Between two checks of which host frees the parts of a store.
constexpr std::chrono::milliseconds StoreOwnerPeriod = 2000ms;
/// Between two searches for parts to free while no weights change.
constexpr std::chrono::milliseconds StoreIdleFreePeriod = 10000ms;
constexpr std::size_t StoreFreeParts = 1000; ///< In one call.
/// Excess time of fetches from a store over those from the fastest one, up to which the store is used in any case.
constexpr std::chrono::milliseconds SlowStoreExcess = 150ms;
constexpr std::chrono::milliseconds StoreSpeedMemory = 1500ms; ///< Age up to which the speed of a store is used.
constexpr double StoreSpeedSmoothing = 0.2; ///< Share of a new sample.
constexpr std::chrono::seconds StoreLinePeriod = 5s; ///< Between log lines on the view of each store.
/// Multiple of the time that an engine needs to prefill a part; a fetch with a larger excess is not worth it.
constexpr double SlowStoreReadings = 5.0;
constexpr std::size_t StoreSamplesKept = 64; ///< Until they are sent to the host that reads the stores for this one.

// Forwarded requests: repeats
constexpr double SpareHostFactor = 1.4; ///< For hosts that may join before the others count them.
/// Part of the permitted ratio of retries that is used; the rest covers time windows that end elsewhere.
constexpr double RetryRatioUsed = 0.85;

// Orders to engines
constexpr std::chrono::milliseconds OrderRetryPause = 300ms; ///< After a failed call.
constexpr std::chrono::milliseconds OrderBusyPause = 200ms; ///< Between questions to an engine that loads weights.
/// Part of the bound on the use of older weights in which a whole pool is planned to change.
constexpr double RolloutShare = 0.5;
constexpr double RolloutAwayMost = 0.25; ///< Share of a pool's engines that change their weights at once.
/// Estimate of the time for which an engine that changes its weights is out of use, before any has been seen.
constexpr std::chrono::milliseconds StartEngineAway = 1400ms;
constexpr double EngineAwaySmoothing = 0.1; ///< Share of a new sample.
/// Part of the mean time out of use; then an engine is asked if it is done.
constexpr double EngineAwayAskShare = 0.75;
/// Largest delay with which the list shows the state of a server: two heartbeats of the server, and the poll.
constexpr std::chrono::milliseconds ListLag = 2500ms;
constexpr std::chrono::milliseconds OrderLeaseTerm = 1200ms; ///< Lasts for a few calls to a slow log.
constexpr std::chrono::milliseconds OrderLeaseMargin = 200ms; ///< Added to the gap between two holders.
/// Delay for each rank of the hosts that try to take a free lease. Lasts for an append and the read that sees it.
constexpr std::chrono::milliseconds OrderLeaseRankStep = 150ms;
/// Hosts that check the lease early; if all hosts did, the log would have to serve too many reads.
constexpr std::size_t OrderLeaseEarlyReaders = 3;
/// Further delay of all other hosts: by then the term of a holder and the gap have passed.
constexpr std::chrono::milliseconds OrderLeaseLateLook = 5000ms;
constexpr std::chrono::milliseconds OrderLeaseWatchPeriod = 500ms; ///< Between reads while another host holds it.

// Relaying what a few hosts read
constexpr std::size_t ReaderGroupMost = 64; ///< Hosts that share one reader.
constexpr std::size_t ReaderGroupLeast = 8; ///< With fewer hosts the saved calls do not justify depending on a reader.
constexpr std::chrono::milliseconds RelayStartDelay = 800ms; ///< Until the other hosts have announced themselves.
/// Between two requests to the reader. A view of a store remains usable for several of them.
constexpr std::chrono::milliseconds RelayPeriod = 300ms;
constexpr std::chrono::milliseconds RelayTimeout = 400ms; ///< Then the next reader is asked.
/// After a reader did not answer or what it relayed was too old.
constexpr std::chrono::milliseconds ReaderAvoidTime = 3000ms;
/// Added to the span of loads in a reply, for those that the reader received while its last reply was on the way.
constexpr std::chrono::milliseconds RelayLoadMargin = 50ms;
/// Age of the oldest loads that a host receives from a reader that it asks for the first time.
constexpr std::chrono::milliseconds RelayLoadsAtFirst = 1000ms;
/// Part of a bound on a fact's age that is allowed for the calls that bring the fact.
constexpr double RelayLagShare = 0.1;
constexpr std::size_t RelayStoreEvents = 4096; ///< Kept of each store.
constexpr std::size_t RelayReplyParts = 1500; ///< In one reply, unless one store alone holds more.
constexpr std::size_t RelayUnconfirmed = 16; ///< Servers whose heartbeats are asked for in one request.

// Following the log
constexpr double OperatorReadShare = 0.25; ///< Part of the bound on changes that a read waits for a new record.
constexpr std::chrono::milliseconds OperatorReadWaitLeast = 250ms;
constexpr std::chrono::milliseconds OperatorReadWaitMost = 1000ms;
/// Part of the bound on withdrawn keys within which a host must confirm its configuration.
constexpr double StaleConfigurationShare = 0.8;
constexpr std::chrono::milliseconds OperatorBackoffMost = 500ms; ///< After failed reads of the operators' records.
constexpr std::chrono::milliseconds OperatorRelayedBackoff = 2000ms; ///< The same, while another host relays them.
constexpr double ServerPollShare = 0.3; ///< Part of the bound on servers that leave.
constexpr std::chrono::milliseconds ServerPollMost = 600ms; ///< Servers write their entries about every second.
/// Time without the log after which entries of live servers may have expired: two heartbeats of a server.
constexpr std::chrono::milliseconds ListLapseAfter = 2400ms;
constexpr std::chrono::milliseconds StartRetryPause = 1s; ///< After a start that found a listen address taken.
constexpr int StartStopTimes = 2; ///< Stop times of an earlier process for which a start is tried again.
constexpr std::chrono::milliseconds HostAnnouncePause = 500ms; ///< After a failed call, before a host has announced.
/// After a failed read, and between a host's own announcement and its first read: the hosts of a fleet may all start
/// at once.
constexpr std::chrono::milliseconds HostReadAgain = 500ms;
constexpr std::chrono::milliseconds HostReadPeriod = 10000ms; ///< Between reads of the list of hosts.
/// Time in which all other hosts read that a new host is in the list.
constexpr std::chrono::milliseconds HostJoinDelay = 14000ms;
/// From a restart until a host uses its share: its previous process may have used it a moment before.
constexpr std::chrono::milliseconds HostReturnDelay = 1100ms;

// Structured log
/// Before a refusal for a stale configuration; in this span the loss of the log may be its cause.
constexpr std::chrono::seconds LogCauseStaleSpan = 30s;
/// Around a failure, in which its cause is searched for. The list drops dead servers in a part of this span.
constexpr std::chrono::seconds LogCauseFailureSpan = 15s;
constexpr std::chrono::seconds LogCauseLoadSpan = 6s; ///< From an order to load weights until the engine serves again.
/// Time without a line under load from which a host counts as having been paused.
constexpr std::chrono::milliseconds LogCausePauseLeast = 1500ms;
constexpr std::size_t LogBufferBytes = 256 * 1024; ///< Unwritten lines; when it is full, further ones are dropped.
constexpr std::uint32_t LogLinesPerSecond = 60; ///< Of one event, for routine lines.
constexpr std::chrono::milliseconds LogFlushDelay = 100ms;
constexpr std::chrono::milliseconds HostLinePeriod = 1000ms; ///< Between log lines on the number of known hosts.

// Forwarded requests: serving
constexpr std::chrono::milliseconds ForwardTickPeriod = 100ms;
constexpr std::chrono::milliseconds ForwardConnectTimeout = 150ms; ///< Several round trips within a region.
/// For which a stream, or a request that may be repeated, goes on after its caller has closed its sending direction and
/// before a part of the answer shows whether the caller still reads.
constexpr std::chrono::milliseconds ForwardInputEndedGrace = 200ms;
constexpr std::chrono::seconds ForwardIdleTime = 20s; ///< For which an idle connection to a server is kept.
constexpr std::chrono::milliseconds ForwardDefaultDeadline = 30000ms; ///< When the request names none.
constexpr std::chrono::milliseconds ForwardLeastTime = 10ms; ///< With less time left no attempt is sent.
constexpr std::size_t ForwardQueueBound = 64; ///< Requests that wait on one host.
constexpr double ForwardWaitShare = 0.125; ///< Part of a route's aim that a request may wait for a free slot.
/// Part of a route's aim after which a repeatable request without an answer is sent to a second server, at the latest.
constexpr double ForwardHedgeDelayShareMost = 0.75;
constexpr std::chrono::milliseconds ForwardStreamSilence = 1000ms; ///< In a resumable stream, before it is resumed.
/// From the header of a stream that takes over for a silent one until its first event, before the silent one is ended.
constexpr std::chrono::milliseconds StandbyEventWait = 250ms;
/// Time by which the last bytes of two streams of a dead server may differ.
constexpr std::chrono::milliseconds SilenceMargin = 100ms;
constexpr std::size_t ForwardAnswerBytes = 8 * 1024 * 1024; ///< Of an answer that is not streamed.
constexpr std::size_t AnswerLineBytes = 16 * 1024; ///< Of a chunk size with its extensions, and of a trailer.
constexpr std::size_t ForwardEventBytes = 256 * 1024; ///< Of one event of a stream; a longer one fails the attempt.
/// Of an answer of the log, a store or an engine's control interface.
constexpr std::size_t ControlAnswerBytes = 4 * 1024 * 1024;
constexpr std::size_t ForwardStreamBacklog = 1024 * 1024; ///< Bytes unread by a caller, beyond which its stream is cut.
/// Servers that may refuse a request without running it, before its caller receives the refusal.
constexpr std::uint32_t ForwardNotRunAttempts = 3;
constexpr std::chrono::milliseconds ForwardLeastWait = 30ms; ///< For a free slot, also with a short aim.
constexpr std::chrono::milliseconds ForwardHedgeDelayLeast = 60ms; ///< Before a second attempt, also with a short aim.
constexpr std::chrono::milliseconds ForwardRetryAfterLeast = 40ms; ///< Shortest wait that a refused caller is told.
/// A refused caller returns within this fraction (1/n) of the time that it has left.
constexpr int ForwardRetryAfterPart = 4;
/// Servers report their load some ten times a second. A request is sent this long before its server is expected to have
/// room, so that the server does not wait for the next report.
constexpr std::chrono::milliseconds QueueStartLead = 50ms;
/// Part of a route's aim that its requests may wait before they count as started late. Together with the usual time to
/// the first event of a busy engine, about two thirds of the aim, this still meets the aim.
constexpr double QueueDelayTarget = 0.25;
/// Time for which starts must be late, as a multiple of the route's aim, until the queue counts as standing. A burst
/// that is over by then is served in full.
constexpr double QueueDelayInterval = 1.0;
constexpr double QueueGapSmoothing = 0.2; ///< Share of a new gap between two starts; a host sees a few per second.
constexpr std::chrono::seconds QueueGapDecay = 2s; ///< Time constant by which the gap is forgotten while none waits.
/// Time constant of the recent use of organisations: some waits, so that one burst is balanced by the next turns.
constexpr std::chrono::seconds QueueUseDecay = 10s;
constexpr std::size_t QueueUsesKept
    = 1024; ///< Organisations with a recent use; beyond it those with least are dropped.
constexpr double AnswerTimeQuantile = 0.75; ///< Of the times of answers, which stands for the usual time.
constexpr double AnswerTimeStep = 0.05; ///< Of one sample towards the quantile, relative to its value.
constexpr std::uint32_t AnswerTimeMeanSamples = 8; ///< First samples of a route, which are averaged with its aim.
constexpr std::size_t ForwardCrashesUntilRefused = 3; ///< Server crashes under one request; then it is refused.
/// Server crashes under one request after which it is not repeated here; only its caller can send it again.
constexpr std::size_t ForwardCrashesUntilNotRepeated = 2;
/// Waiting requests at an engine as a share of its slots, by priority of the request.
constexpr std::array<double, 3> EngineWaitingShares {0.22, 0.125, 0.0625};
/// Part of an engine's memory that may be in use, by priority of the request.
constexpr std::array<double, 3> EngineMemoryShares {0.95, 0.9, 0.8};
constexpr double StartPrefillTokensPerMillisecond = 50.0; ///< Before any has been estimated.
constexpr double PrefillRateLeast = 1.0; ///< Tokens per millisecond.
constexpr double PrefillRateMost = 1000.0; ///< Tokens per millisecond.
/// Quantile of the times to the first token that stands for prompts that did not wait.
constexpr double PrefillQuantile = 0.25;
constexpr double QuantileStep = 0.02; ///< Least step towards the quantile, relative to its value.
constexpr std::uint32_t PrefillLeastSamples = 10; ///< Of prompts of about one size, before they are used.
constexpr double PrefillLeastSpread = 0.3; ///< Of prompt sizes relative to their mean; with less no rate is estimated.
constexpr std::size_t PromptSizeClasses = 20; ///< Powers of two.
constexpr double StartPromptTokens = 3000; ///< Of an average prompt, before any has been seen.
constexpr std::chrono::milliseconds StartAnswerTokenTime = 7ms; ///< For each token that an answer may have.
/// Tokens that a run occupies of its engine's memory, before any has been seen.
constexpr double StartRunTokens = 5000;
/// Share of a new sample. Some 20 runs are sampled ten times a second.
constexpr double RunTokensSmoothing = 0.005;
constexpr double AnswerLengthSmoothing = 0.05; ///< Share of a new answer in the usual length of its kind.
constexpr std::chrono::milliseconds StartEngineRunTime = 1000ms; ///< Of a run, before any has ended.
constexpr double RunTimeSmoothing = 0.02; ///< Share of a new sample.
/// Hosts up to which each own request to a server stands for one of every host. In larger fleets a host sends so seldom
/// to one server that its own requests say less.
constexpr double MaxHostsPerOwnRequest = 18;
/// Servers of a pool up to which all are compared; of larger pools a share that falls with their size.
constexpr double PlacementSampleAll = 18;
/// Servers that are compared at the least: hosts with the same load reports must not all choose the same server.
constexpr double PlacementSampleLeast = 3;
/// Age up to which a load report is used: about two runs.
constexpr std::chrono::milliseconds LoadReportUsableTime = 2000ms;
// Pace of servers that report it
constexpr double PaceLeastPercent = 1.0; ///< Smallest pace that a server may report; less is taken for a mistake.
constexpr double PaceMostPercent = 10'000.0; ///< Largest such pace.
/// Mean time between two changes of a server's pace.
constexpr std::chrono::milliseconds PaceChangeTime = 600ms;
/// Age up to which a reported pace is used: by then the pace has changed with a probability of 0.92.
constexpr std::chrono::milliseconds PaceReportUsableTime = 1500ms;
/// Bounds of the pace that is expected. A server that reports less must not attract the requests of all hosts.
constexpr double PaceExpectedLeast = 0.25;
constexpr double PaceExpectedMost = 10.0;
constexpr double PaceRatioMost = 4.0; ///< Of one answer to the usual one, in either direction; more is an outlier.
/// Of the time to the first event relative to the time per token, which depends less on queues and cached parts.
constexpr double PaceFirstEventWeight = 0.5;
constexpr double PacePrior = 3.0; ///< Usual answers that each server starts with.
/// Weight of all answers in the long-term pace. A host of a large fleet gets an answer of one server each 7 s.
constexpr double PaceMemorySamples = 30.0;
constexpr double UsualTimeSmoothing = 0.01; ///< Share of a new answer in the usual times of its kind.
constexpr std::uint32_t UsualTimeLeastSamples = 20; ///< Answers of a kind before others are compared with them.

/// Part of the engine memory for requests of an urgency that a pool uses on average, up to which it is calm, and from
/// which it is full. Between them the limits below move from the calm to the full value.
constexpr double PacedCalmFill = 0.6;
constexpr double PacedFullFill = 0.95;
/// Multiples of EngineMemoryShares at one engine. The mean memory of a run overestimates that of short prompts, and a
/// limit that pushes requests off the engines that hold their parts costs more than waiting there.
constexpr double PacedCalmMemory = 2.0;
constexpr double PacedFullMemory = 1.6;
/// Multiples of EngineWaitingShares. Engines start what waits by urgency over all hosts, which queues of single hosts
/// cannot.
constexpr double PacedCalmWaiting = 4.5;
constexpr double PacedFullWaiting = 4.5;

constexpr double FirstByteSmoothing = 0.05; ///< Share of a new sample.
/// A second attempt is sent this multiple of the average time to the first byte before the route's aim, so that its
/// answer still arrives in time.
constexpr double HedgeLead = 1.5;
constexpr double HedgeDelayShareLeast = 0.5; ///< Part of a route's aim before which no second attempt is made.
/// Part of a route's aim within which another server must be expected to answer, for a second attempt to be made.
constexpr double HedgeShare = 0.5;
/// Time after which a sample of the time to the first event counts half. A host of a large fleet sees a few requests
/// of a kind each second; with less time a kind has too few samples, with more the delay stays long for minutes after a
/// slow phase.
constexpr std::chrono::seconds FirstEventHalfLife = 10s;
/// Samples, by their decayed count, below which the times of a kind of request are not used.
constexpr double FirstEventLeastSamples = 6.0;
/// Decayed count of longer times below which an attempt that has taken as long counts as stalled: a lone long time
/// counts for one half-life.
constexpr double FirstEventLongerLeast = 0.5;
/// Quantile of the times to the first event before which no second attempt is made: one request in 20 may have one.
constexpr double FirstEventQuantile = 0.95;
constexpr double FirstEventMedian = 0.5; ///< Quantile of the longer times that a slow attempt is expected to take.
constexpr unsigned FirstEventBins = 280; ///< Between the next two times; each bin is wider by 4 % than the one before.
constexpr double FirstEventBinPart = 0.99; ///< Of a bin, up to which a quantile may lie in it.
constexpr std::chrono::milliseconds FirstEventLeast = 1ms;
constexpr std::chrono::milliseconds FirstEventMost = 60000ms;
/// Between checks whether a server whose answer is not overdue yet has stopped sending to all requests.
constexpr std::chrono::milliseconds SecondAttemptCheckPeriod = 100ms;
/// Part of an engine's slots that the attempts of one host may take, beside those of other hosts.
constexpr double EngineInFlightShare = 0.375;
/// Multiple of an equal share of an engine's slots that each host may take, where this is more: in a small fleet.
constexpr double EngineInFlightEqualShares = 2.0;
constexpr std::chrono::milliseconds OldWeightsMargin = 2500ms; ///< Before older weights may no longer be used.
/// Answers of peers after which a host that has just started no longer asks when weights were named.
constexpr unsigned NamingAnswersMost = 3;
constexpr std::chrono::milliseconds NamingAskPeriod = 200ms; ///< Least time between two such questions.
constexpr std::chrono::hours NamingAgeMost = 24h; ///< Older namings count as named at an unknown time.
/// From SIGTERM until new requests are refused; the load balancer has checked readiness twice by then.
constexpr std::chrono::milliseconds StopRefuseAfter = 2500ms;
constexpr double StopRefuseShareMost = 1.0 / 3; ///< Part of the time for a stop that StopRefuseAfter may take.
constexpr std::chrono::milliseconds StopLeastTime = 3000ms; ///< From SIGTERM until the process ends, at the least.
/// Multiple of the expected time of an engine's run that must be left of a stop for the run to start.
constexpr double StopRunTimes = 2.0;
/// Before the time at which the process would be killed; then the requests still under way are ended. Half of it is
/// left for their answers to be read.
constexpr std::chrono::milliseconds StopMargin = 400ms;
constexpr double StopMarginShareMost = 0.125; ///< Part of the time for a stop that StopMargin may take.

} // namespace endivespan::config
