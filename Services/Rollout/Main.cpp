#include "LibBase/Log.h"
#include "LibBase/Random.h"
#include "LibBase/Signals.h"
#include "Services/Rollout/RolloutProcess.h"

#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <random>
#include <sstream>

DEFINE_string(settings, "", "The JSON file with this process's settings");
DEFINE_string(log_level, "info", "Least severe log level to write: debug, info, warn, error");

namespace {

using namespace fennelline;

constexpr int kExitFailed = 1;
constexpr int kExitBadInput = 2;

Result<RolloutProgramSettings> ReadSettings(const std::string& aPath) {
  std::ifstream file(aPath);
  if (!file) {
    return MakeError(ErrorCode::NotFound, "--settings: cannot read \"" + aPath + "\"");
  }
  std::ostringstream text;
  text << file.rdbuf();
  return ParseRolloutProgramSettings(text.str());
}

int Run(const RolloutProgramSettings& aSettings) {
  // The only source of nondeterminism: all later random choices derive from this seed.
  std::random_device device;
  Random random((static_cast<std::uint64_t>(device()) << 32U) | device());
  std::ostringstream incarnation;
  incarnation << std::hex << random.Next();
  RolloutProcess process(aSettings, incarnation.str(), random.Next());
  const Result<void> started = process.Start();
  if (started.IsError()) {
    std::cerr << "fennelline-rollout: " << started.GetError().m_detail << "\n";
    return kExitFailed;
  }
  WaitForStopSignal();
  process.StopGracefully();
  return 0;
}

} // namespace

int main(int aCount, char** aArguments) {
  gflags::SetUsageMessage("Drives roll-outs under a lease: fennelline-rollout --settings FILE");
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  if (!SetLogLevel(FLAGS_log_level)) {
    std::cerr << "fennelline-rollout: --log_level must be debug, info, warn or error\n";
    return kExitBadInput;
  }
  BlockStopSignals();
  const Result<RolloutProgramSettings> settings = ReadSettings(FLAGS_settings);
  if (settings.IsError()) {
    std::cerr << "fennelline-rollout: " << settings.GetError().m_detail << "\n";
    return kExitBadInput;
  }
  return Run(settings.Get());
}
