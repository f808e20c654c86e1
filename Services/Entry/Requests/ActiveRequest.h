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

/// Where an open request stands.
enum class RequestPhase : std::uint8_t {
  /// A further slice of the customer's budget is being drawn.
  AwaitingSpend,
  /// Two first requests of a session may race: the session's version is being agreed.
  AwaitingPin,
  /// A non-idempotent request waits for its claim, or for the answer of the attempt that has it.
  AwaitingClaim,
  /// At least one call to a backend server is open.
  Running,
  /// It was running when a server crashed, and asks for the one further run that all entries
  /// together allow it.
  AwaitingSuspectClaim,
  /// A call broke; its server is being asked whether it still runs.
  AwaitingCrashCheck,
  /// The judge looks at the answer of a cascade's step.
  Judging,
  /// The answer is whole; its usage record is being copied to a peer.
  AwaitingUsage,
  /// The record is in two places; the request's one bill is being claimed.
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
  /// The name under which the server knows the run.
  std::string m_attempt;
  std::string m_version;
  std::string m_address;
  SentWork m_work;
  bool m_hedge = false;
  bool m_answered = false;
  int m_status = 0;
  std::string m_contentType;
  /// The body so far, of an answer that is not streamed.
  std::string m_body;
  Time m_firstByte = kNever;
  std::int64_t m_tokens = 0;
  std::uint64_t m_lastEvent = 0;
  int m_resumes = 0;
};

/// One open request of a caller.
struct ActiveRequest {
  CallerRequest m_request;
  RequestIdentity m_identity;
  /// Whether the caller gave the key, so that the request may come again elsewhere.
  bool m_hasIdempotencyKey = false;
  bool m_idempotent = true;
  std::string m_bodyHash;
  /// Names the content whatever the customer and the key, to remember requests that crash servers.
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
  /// The part of it before a server starts the request.
  Duration m_expectedWait{0};
  double m_poolFree = 1.0;
  std::vector<std::uint64_t> m_prefixHashes;
  /// The admission to give back, if there is one.
  std::string m_admittedPool;
  double m_admittedWork = 0.0;
  bool m_admitted = false;
  std::int64_t m_reservedMicros = 0;
  /// Where the budget's slice is too small: how long to wait for a further one.
  Time m_spendLimit = kNever;
  /// Cost of the cascade's steps so far.
  std::int64_t m_costMicros = 0;
  std::int64_t m_inputTokens = 0;
  std::int64_t m_outputTokens = 0;

  std::vector<RunningCall> m_calls;
  std::set<BackendServerId> m_triedServers;
  /// Whether any call may have reached a server.
  bool m_sent = false;
  /// Whether a call failed in a way that leaves open whether it ran.
  bool m_mayHaveRun = false;
  int m_crashes = 0;
  /// The claim to the further run of a suspect, and the crashes counted when it was granted.
  std::optional<AttemptId> m_suspectClaim;
  int m_crashesAtClaim = 0;
  /// The failure that a crash check goes with, and when to go on without its result.
  BackendFailed m_failure;
  Time m_crashCheckDeadline = kNever;
  bool m_hedged = false;
  BackendServerId m_lastServer;

  bool m_headSent = false;
  /// The end of the answer, held back until the usage record is safe.
  StoredAnswer m_answer;
  std::uint64_t m_rating = 0;
  /// The attempt that owns the request's bill slot; only for a key that may have run elsewhere.
  std::optional<AttemptId> m_billAttempt;
};

} // namespace fennelline
