#include "LibBase/Random.h"
#include "LibBase/Signals.h"
#include "Services/Entry/Shell/EntryProcess.h"

#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <random>
#include <sstream>

DEFINE_string(settings, "", "The JSON file with this entry's settings, see docs/SETTINGS.md");
DEFINE_string(log_level, "info", "Least severe log level to write: debug, info, warn, error");

namespace {

using namespace fennelline;

constexpr int kExitFailed = 1;
constexpr int kExitBadInput = 2;

Result<EntrySettings> ReadSettings(const std::string& aPath) {
  std::ifstream file(aPath);
  if (!file) {
    return MakeError(ErrorCode::NotFound, "--settings: cannot read \"" + aPath + "\"");
  }
  std::ostringstream text;
  text << file.rdbuf();
  return ParseEntrySettings(text.str());
}

int Run(const EntrySettings& aSettings) {
  // The only source of nondeterminism: all later random choices derive from this seed.
  std::random_device device;
  Random random((static_cast<std::uint64_t>(device()) << 32U) | device());
  std::ostringstream incarnation;
  incarnation << std::hex << random.Next();
  EntryProcess process(aSettings, incarnation.str(), random.Next());
  const Result<void> started = process.Start();
  if (started.IsError()) {
    std::cerr << "fennelline-entry: " << started.GetError().m_detail << "\n";
    return kExitFailed;
  }
  WaitForStopSignal();
  return process.StopGracefully() ? 0 : kExitFailed;
}

} // namespace

int main(int aCount, char** aArguments) {
  gflags::SetUsageMessage("Serves callers: fennelline-entry --settings FILE");
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  if (!SetLogLevel(FLAGS_log_level)) {
    std::cerr << "fennelline-entry: --log_level must be debug, info, warn or error\n";
    return kExitBadInput;
  }
  BlockStopSignals();
  const Result<EntrySettings> settings = ReadSettings(FLAGS_settings);
  if (settings.IsError()) {
    std::cerr << "fennelline-entry: " << settings.GetError().m_detail << "\n";
    return kExitBadInput;
  }
  return Run(settings.Get());
}
