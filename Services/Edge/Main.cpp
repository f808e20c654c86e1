#include "Services/Edge/EdgeProcess.h"
#include "platform/SettingsCodec.h"

#include <csignal>
#include <cstdlib>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(settings, "", "settings file; by default, the one that the environment names");
DEFINE_int32(metrics_port, 0, "port for metrics beside the peers' address; 0 for none");
DEFINE_bool(check, false, "read the settings, say what is wrong with them, and end");

namespace {

/// Set by signal handlers, which may do no more than this and wake the loop.
volatile std::sig_atomic_t gStopAsked = 0;
volatile std::sig_atomic_t gReloadAsked = 0;
int gWakeup = -1;

void OnSignal(int aSignal) {
  (aSignal == SIGHUP ? gReloadAsked : gStopAsked) = 1;
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

int Fail(const fennelline::Error& aError) {
  std::cerr << "fennelline-edge: " << aError.m_detail << '\n';
  return 1;
}

} // namespace

int main(int aCount, char** aArguments) {
  gflags::SetUsageMessage("One entry of the fleet: fennelline-edge [flags]");
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  const char* fromEnvironment = std::getenv(fennelline::platform::kSettingsVariable);
  const std::string path = FLAGS_settings.empty() && fromEnvironment != nullptr
                             ? std::string(fromEnvironment)
                             : FLAGS_settings;
  std::string text;
  fennelline::Result<fennelline::EntryFacts> facts = fennelline::ReadSettingsFile(path, text);
  if (facts.IsError()) {
    return Fail(facts.GetError());
  }
  if (FLAGS_check) {
    std::cout << path << ": good\n";
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
    facts.Take());
  loop.Watch(wakeup.Number(), [&process, &wakeup](const fennelline::Readiness&) {
    fennelline::DrainWakeup(wakeup);
    if (gReloadAsked != 0) {
      gReloadAsked = 0;
      process.Reload();
    }
    if (gStopAsked != 0) {
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
