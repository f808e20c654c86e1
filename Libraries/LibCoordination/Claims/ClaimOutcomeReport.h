#pragma once

#include "LibBase/NameTable.h"
#include "LibBase/Time.h"
#include "LibCoordination/ClaimMessages.h"

#include <cstdint>
#include <string>

namespace fennelline {

enum class ClaimResult : std::uint8_t {
  /// The attempt is this entry's own and may be sent, see ClaimTable::MaySend().
  Granted,
  /// The request ran before: m_answer is its answer.
  Replay,
  /// The same key came with another body.
  Conflict,
  /// The request may have run and its answer is lost. Final.
  Unknown,
  /// The attempt was given up for good before anything was sent: it did not run, and it won't.
  NotRun,
};

constexpr NameTable<ClaimResult, 5> kClaimResultNames = {{
  {ClaimResult::Granted, "granted"},
  {ClaimResult::Replay, "replay"},
  {ClaimResult::Conflict, "conflict"},
  {ClaimResult::Unknown, "unknown"},
  {ClaimResult::NotRun, "not-run"},
}};

/// How a claim ended. Each ClaimTable::Begin() gets exactly one.
struct ClaimOutcomeReport {
  /// The number that the caller of Begin() gave.
  std::uint64_t m_ticket = 0;
  RequestIdentity m_identity;
  ClaimResult m_result = ClaimResult::NotRun;
  /// For Granted: the attempt to send. For Replay: the attempt that ran.
  AttemptId m_attempt;
  StoredAnswer m_answer;
  /// For NotRun: when to try again, and why it did not run.
  Duration m_retryAfter{0};
  std::string m_reason;
};

} // namespace fennelline
