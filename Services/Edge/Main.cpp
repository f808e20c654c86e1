#include "Services/Edge/EdgeProcess.h"
#include "platform/SettingsCodec.h"

#include <csignal>
#include <cstdlib>
#include <gflags/gflags.h>
#include <iostream>
#include <malloc.h>

DEFINE_string(settings, "",
              "settings file; defaults to the path in the platform's environment variable");
DEFINE_int32(metrics_port, 0, "additional port that serves metrics; 0 for none");
DEFINE_bool(check, false, "validate the settings file and exit");

namespace {

/// Set by the signal handler, which only does this and wakes the event loop, since few functions
/// are async-signal-safe.
volatile std::sig_atomic_t gStopRequested = 0;
volatile std::sig_atomic_t gReloadRequested = 0;
int gWakeup = -1;

void OnSignal(int aSignal) {
  (aSignal == SIGHUP ? gReloadRequested : gStopRequested) = 1;
  const std::uint64_t one = 1;
  [[maybe_unused]] const ssize_t written = ::write(gWakeup, &one, sizeof(one));
}

void CatchSignals(int aWakeup) {
  gWakeup = aWakeup;
  struct sigaction action {};
  action.sa_handler = OnSignal;
  for (const int number : {SIGTERM, SIGINT, SIGHUP}) {
    sigaction(number, &action, nullptr);
  }
  std::signal(SIGPIPE, SIG_IGN);
}

/// Larger blocks of memory are given back to the system as soon as they are freed.
constexpr int kSeparateBlockBytes = 128 * 1024;

int Fail(const fennelline::Error& aError) {
  std::cerr << "fennelline-edge: " << aError.m_detail << '\n';
  return 1;
}

} // namespace

int main(int aCount, char** aArguments) {
  // By default, the threshold rises with the largest block that was freed. Large bodies would then
  // come from the heap, whose gaps are not given back.
  mallopt(M_MMAP_THRESHOLD, kSeparateBlockBytes);
  gflags::SetUsageMessage("Routes requests to backend servers: fennelline-edge [flags]");
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  const char* fromEnvironment = std::getenv(fennelline::platform::kSettingsVariable);
  const std::string path = FLAGS_settings.empty() && fromEnvironment != nullptr
                             ? std::string(fromEnvironment)
                             : FLAGS_settings;
  std::string text;
  fennelline::Result<fennelline::DeploymentSettings> deploymentSettings =
    fennelline::ReadSettingsFile(path, text);
  if (deploymentSettings.IsError()) {
    return Fail(deploymentSettings.GetError());
  }
  if (FLAGS_check) {
    std::cout << path << ": valid\n";
    return 0;
  }
  fennelline::EventLoop loop;
  const fennelline::Result<void> opened = loop.Open();
  if (opened.IsError()) {
    return Fail(opened.GetError());
  }
  const fennelline::FileDescriptor wakeup = fennelline::MakeWakeup();
  CatchSignals(wakeup.Number());
  fennelline::EdgeProcess process(
    loop, {.m_settingsPath = path, .m_settingsText = text, .m_metricsPort = FLAGS_metrics_port},
    deploymentSettings.Take());
  loop.Watch(wakeup.Number(), [&process, &wakeup](const fennelline::Readiness&) {
    fennelline::DrainWakeup(wakeup);
    if (gReloadRequested != 0) {
      gReloadRequested = 0;
      process.Reload();
    }
    if (gStopRequested != 0) {
      process.Stop();
    }
  });
  const fennelline::Result<void> started = process.Start();
  if (started.IsError()) {
    return Fail(started.GetError());
  }
  loop.Run();
  return 0;
}
