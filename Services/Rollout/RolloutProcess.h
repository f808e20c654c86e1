#pragma once

#include "LibBase/Error.h"
#include "Services/Rollout/RolloutProgramSettings.h"

#include <cstdint>
#include <memory>
#include <string>

namespace fennelline {

/// The shell around the roll-out controller: one thread calls the reducer, oneTBB tasks make the
/// blocking calls, an HTTP server shows what it does.
class RolloutProcess {
public:
  /// aIncarnation tells this run from all others of the same VM.
  RolloutProcess(const RolloutProgramSettings& aSettings, const std::string& aIncarnation,
                 std::uint64_t aSeed);
  ~RolloutProcess();
  RolloutProcess(const RolloutProcess&) = delete;
  RolloutProcess& operator=(const RolloutProcess&) = delete;

  Result<void> Start();
  /// Gives the lease back and waits for calls under way.
  void StopGracefully();

private:
  struct Shell;
  std::unique_ptr<Shell> m_shell;
};

} // namespace fennelline
