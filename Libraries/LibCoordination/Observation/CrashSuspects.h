#pragma once

#include "LibBase/NameTable.h"
#include "LibBase/Time.h"
#include "LibCoordination/Observation/CrashHistory.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fennelline {

/// A server that has sent events for this long does not crash because of a part of the prompt: it
/// would have crashed when it began to answer.
constexpr Duration kProvenRunTime = Seconds(1);

/// A request on a backend server that has not answered it completely.
struct ServerRun {
  std::string m_requestId;
  CrashCauses m_causes;
  Time m_sentAt{};
  /// When the head of the answer and its first event were received.
  std::optional<Time> m_headAt;
  std::optional<Time> m_firstEventAt;
  /// Events have been received for kProvenRunTime.
  bool m_isProven = false;
};

/// What a run says about the cause of a crash.
enum class RunRole : std::uint8_t {
  /// The server had begun the answer, but sent none of its content yet.
  Beginning,
  /// The server may have been about to begin it, or has just begun it.
  Unproven,
  /// The server had been answering it for a while.
  Proven,
};

constexpr NameTable<RunRole, 3> kRunRoleNames = {{
  {RunRole::Beginning, "beginning"},
  {RunRole::Unproven, "unproven"},
  {RunRole::Proven, "proven"},
}};

RunRole RoleOf(const ServerRun& aRun);

/// Chooses from the runs of one entry that were in progress on a server when that crashed those
/// that may be the cause: the ones that the server was beginning to answer, or else all of them,
/// without the parts of prompts that have proved sound.
std::vector<CrashedRun> FindCrashSuspects(const std::vector<ServerRun>& aRuns);

} // namespace fennelline
