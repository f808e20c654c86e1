#include "LibBase/Signals.h"

#include <csignal>
#include <pthread.h>

namespace fennelline {

namespace {

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

} // namespace

void BlockStopSignals() {
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  // Writing to a connection closed by the peer must not terminate the process.
  std::signal(SIGPIPE, SIG_IGN); // NOLINT(bugprone-unused-return-value)
}

void WaitForStopSignal() {
  const sigset_t signals = StopSignals();
  int received = 0;
  while (sigwait(&signals, &received) != 0) {
  }
}

} // namespace fennelline
