#pragma once

#include "LibBase/Time.h"

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace fennelline {

/// A program that the test has started. It is killed at the end, also when it is stopped.
class ChildProcess {
public:
  ChildProcess() = default;
  /// Starts a program of Build/bin; its output goes to a file.
  ChildProcess(const std::string& aProgram, const std::vector<std::string>& aArguments,
               const std::string& aLogPath);
  ~ChildProcess();
  ChildProcess(ChildProcess&& aOther) noexcept;
  ChildProcess& operator=(ChildProcess&& aOther) noexcept;

  void Signal(int aSignal) const;
  bool IsRunning();
  /// The exit code, or 128 and the signal that ended it. Nothing when it still runs at the bound.
  std::optional<int> WaitForExit(Duration aBound);

private:
  void Reap(int aStatus);
  void Kill();

  pid_t m_pid = -1;
  std::optional<int> m_exitCode;
};

} // namespace fennelline
