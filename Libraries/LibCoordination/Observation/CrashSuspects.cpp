#include "LibCoordination/Observation/CrashSuspects.h"

#include <algorithm>

namespace fennelline {

RunRole RoleOf(const ServerRun& aRun) {
  if (aRun.m_isProven) {
    return RunRole::Proven;
  }
  return aRun.m_headAt && !aRun.m_firstEventAt ? RunRole::Beginning : RunRole::Unproven;
}

std::vector<CrashedRun> FindCrashSuspects(const std::vector<ServerRun>& aRuns) {
  const bool isAnyBeginning = std::any_of(aRuns.begin(), aRuns.end(), [](const ServerRun& aRun) {
    return RoleOf(aRun) == RunRole::Beginning;
  });
  std::vector<CrashedRun> suspects;
  for (const ServerRun& run : aRuns) {
    const RunRole role = RoleOf(run);
    if (isAnyBeginning && role != RunRole::Beginning) {
      continue;
    }
    CrashedRun suspect{.m_causes = run.m_causes, .m_sentAt = run.m_sentAt};
    if (role == RunRole::Proven) {
      suspect.m_causes.m_parts.clear();
    }
    suspects.push_back(std::move(suspect));
  }
  return suspects;
}

} // namespace fennelline
