#pragma once

#include "LibContract/Configuration.h"
#include "LibCoordination/ClaimMessages.h"
#include "LibDecision/Planner.h"
#include "Services/Entry/Backends/BackendDirectory.h"
#include "Services/Entry/Requests/Problem.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fennelline {

/// The state of an open request.
enum class RequestPhase : std::uint8_t {
  /// Waits for another slice of the customer's budget.
  AwaitingSpend,
  /// Waits for the entries to agree on the session's version, since first requests may race.
  AwaitingPin,
  /// A non-idempotent request waits for its claim, or for the answer of the attempt that holds it.
  AwaitingClaim,
  /// At least one call to a backend server is open.
  Running,
  /// The request was running when a server crashed and waits for the claim to its only rerun, which
  /// is granted once across all entries.
  AwaitingSuspectClaim,
  /// A call broke; its server is being polled to find out whether it crashed.
  AwaitingCrashCheck,
  /// The rating service judges the answer of a cascade step.
  Judging,
  /// The answer is complete; its usage record is being copied to a peer.
  AwaitingUsage,
  /// The answer is complete; the claim that makes this entry the only one to bill is pending.
  AwaitingBill,
};

constexpr NameTable<RequestPhase, 9> kRequestPhaseNames = {{
  {RequestPhase::AwaitingSpend, "awaiting-spend"},
  {RequestPhase::AwaitingPin, "awaiting-pin"},
  {RequestPhase::AwaitingClaim, "awaiting-claim"},
  {RequestPhase::Running, "running"},
  {RequestPhase::AwaitingSuspectClaim, "awaiting-suspect-claim"},
  {RequestPhase::AwaitingCrashCheck, "awaiting-crash-check"},
  {RequestPhase::Judging, "judging"},
  {RequestPhase::AwaitingUsage, "awaiting-usage"},
  {RequestPhase::AwaitingBill, "awaiting-bill"},
}};

/// One call to a backend server on behalf of a request.
struct RunningCall {
  BackendCallId m_id = 0;
  /// The attempt identifier sent to the server.
  std::string m_attempt;
  std::string m_version;
  std::string m_address;
  SentWork m_work;
  bool m_hedge = false;
  bool m_answered = false;
  int m_status = 0;
  std::string m_contentType;
  /// The body received so far, for an answer that is not streamed.
  std::string m_body;
  Time m_firstByte = kNever;
  std::int64_t m_tokens = 0;
  std::uint64_t m_lastEvent = 0;
  int m_resumes = 0;
};

/// An open request of a caller.
struct ActiveRequest {
  CallerRequest m_request;
  RequestIdentity m_identity;
  /// Whether the caller supplied the key, so that it may retry the request at another entry.
  bool m_hasIdempotencyKey = false;
  bool m_idempotent = true;
  std::string m_bodyHash;
  /// Hash of the content, independent of customer and key; identifies requests that crash servers.
  std::string m_fingerprint;
  RequestKind m_kind;
  double m_share = 1.0;
  std::int64_t m_operationCostMicros = 0;
  Time m_arrival{};
  Time m_deadline{};

  RequestPhase m_phase = RequestPhase::Running;
  /// The claimed attempt of a request that may run only once.
  std::optional<AttemptId> m_claim;
  std::string m_sessionName;
  std::string m_pinnedVersion;
  double m_rolloutDraw = 0.0;

  Plan m_plan;
  std::size_t m_step = 0;
  Duration m_expectedTime{0};
  /// The part of m_expectedTime before a server starts the request.
  Duration m_expectedWait{0};
  double m_poolFree = 1.0;
  std::vector<std::uint64_t> m_prefixHashes;
  /// The admission to release when the request ends, if m_admitted is set.
  std::string m_admittedPool;
  double m_admittedWork = 0.0;
  bool m_admitted = false;
  std::int64_t m_reservedMicros = 0;
  /// If the budget slice is too small: until when to wait for another one.
  Time m_spendLimit = kNever;
  /// Total cost of the cascade steps so far.
  std::int64_t m_costMicros = 0;
  std::int64_t m_inputTokens = 0;
  std::int64_t m_outputTokens = 0;

  std::vector<RunningCall> m_calls;
  std::set<BackendServerId> m_triedServers;
  /// Whether any call may have reached a server.
  bool m_sent = false;
  /// Whether a call failed without certainty that it did not run.
  bool m_mayHaveRun = false;
  int m_crashes = 0;
  /// The claim to rerun a request suspected of crashing servers, and its crash count when granted.
  std::optional<AttemptId> m_suspectClaim;
  int m_crashesAtClaim = 0;
  /// The failure being checked for a crash, and when to continue without the result of the check.
  BackendFailed m_failure;
  Time m_crashCheckDeadline = kNever;
  bool m_hedged = false;
  BackendServerId m_lastServer;

  bool m_headSent = false;
  /// The answer, whose end is held back until the usage record has been copied.
  StoredAnswer m_answer;
  std::uint64_t m_rating = 0;
  /// The attempt that holds the request's bill claim; only for a key that may have run elsewhere.
  std::optional<AttemptId> m_billAttempt;
};

} // namespace fennelline
