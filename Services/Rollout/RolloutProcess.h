#pragma once

#include "LibBase/Error.h"
#include "Services/Rollout/RolloutProgramSettings.h"

#include <cstdint>
#include <memory>
#include <string>

namespace fennelline {

/// Runs the roll-out controller: one thread calls the controller, oneTBB tasks make the blocking
/// calls, and an HTTP server exposes status and metrics.
class RolloutProcess {
public:
  /// aIncarnation distinguishes this run from all others on the same VM.
  RolloutProcess(const RolloutProgramSettings& aSettings, const std::string& aIncarnation,
                 std::uint64_t aSeed);
  ~RolloutProcess();
  RolloutProcess(const RolloutProcess&) = delete;
  RolloutProcess& operator=(const RolloutProcess&) = delete;

  Result<void> Start();
  /// Releases the lease and waits for calls in progress.
  void StopGracefully();

private:
  struct Shell;
  std::unique_ptr<Shell> m_shell;
};

} // namespace fennelline
