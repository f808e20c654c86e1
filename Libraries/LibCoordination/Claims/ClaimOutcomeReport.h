#pragma once

#include "LibBase/NameTable.h"
#include "LibBase/Time.h"
#include "LibCoordination/ClaimMessages.h"

#include <cstdint>
#include <string>

namespace fennelline {

enum class ClaimResult : std::uint8_t {
  /// The attempt belongs to this entry and may be sent, see ClaimTable::MaySend().
  Granted,
  /// The request has already run; m_answer is its answer.
  Replay,
  /// The key was used before with a different body.
  Conflict,
  /// The request may have run, and its answer is lost. This is final.
  Unknown,
  /// The attempt was abandoned before anything was sent: it did not run and never will.
  NotRun,
};

constexpr NameTable<ClaimResult, 5> kClaimResultNames = {{
  {ClaimResult::Granted, "granted"},
  {ClaimResult::Replay, "replay"},
  {ClaimResult::Conflict, "conflict"},
  {ClaimResult::Unknown, "unknown"},
  {ClaimResult::NotRun, "not-run"},
}};

/// How a claim ended. Each ClaimTable::Begin() leads to exactly one report.
struct ClaimOutcomeReport {
  /// The ticket that was passed to Begin().
  std::uint64_t m_ticket = 0;
  RequestIdentity m_identity;
  ClaimResult m_result = ClaimResult::NotRun;
  /// For Granted: the attempt to send. For Replay: the attempt that ran.
  AttemptId m_attempt;
  StoredAnswer m_answer;
  /// For NotRun: how long to wait before a retry. m_reason says why a claim was not granted.
  Duration m_retryAfter{0};
  std::string m_reason;
};

} // namespace fennelline
