#include "LibBase/Signals.h"
#include "Utilities/StandinEngine/EngineServer.h"

#include <gflags/gflags.h>
#include <iostream>
#include <sstream>

// NOLINTBEGIN(readability-identifier-naming,readability-redundant-declaration)
DEFINE_string(address, "127.0.0.1", "IP address to listen on");
DEFINE_int32(port, 0, "port to listen on; 0 picks a free one");
DEFINE_string(ports_file, "", "file that {\"port\": N} is written to once the server is ready");
DEFINE_string(versions, "", "comma-separated loaded versions, such as tagger@1,writer@2");
DEFINE_string(bad_rate, "",
              "fraction of bad answers by version, such as tagger@1=0.1,writer@2=0.02");
DEFINE_string(pace, "", "relative decoding speed by version, 1 if missing, such as writer@2=0.5");
DEFINE_int64(slots, 8, "maximum number of running streams");
DEFINE_int64(most_queued, 64, "maximum number of queued streams");
DEFINE_double(tokens_per_second, 200.0, "decoding speed of a stream that runs alone");
DEFINE_double(prompt_tokens_per_second, 20000.0, "prefill speed");
DEFINE_double(full_batch_slowdown, 1.5, "slowdown factor of a stream when all slots are occupied");
DEFINE_int64(cache_blocks, 4096, "capacity of the prefix cache in blocks of 64 characters");
DEFINE_int64(cache_lag_ms, 200, "delay of cache events in milliseconds");
DEFINE_int64(load_lag_ms, 100, "age of load reports in milliseconds");
DEFINE_int64(load_time_ms, 100, "time to load a version without a platform, in milliseconds");
DEFINE_string(platform, "", "IP:PORT of the platform, for its weight store");
DEFINE_bool(check_fence, true, "reject orders with an outdated fencing token");
DEFINE_string(crash_marker, "", "a prompt that contains this text ends the process");
DEFINE_uint64(seed, 1, "seed of the random number generator");
// NOLINTEND(readability-identifier-naming,readability-redundant-declaration)

namespace {

using fennelline::ErrorCode;
using fennelline::MakeError;
using fennelline::Result;

std::set<std::string> SplitNames(const std::string& aText) {
  std::set<std::string> names;
  std::istringstream stream(aText);
  std::string name;
  while (std::getline(stream, name, ',')) {
    names.insert(name);
  }
  return names;
}

Result<std::map<std::string, double>> SplitNumbers(const std::string& aText) {
  std::map<std::string, double> numbers;
  for (const std::string& item : SplitNames(aText)) {
    const std::size_t equals = item.find('=');
    char* end = nullptr;
    const char* number = equals == std::string::npos ? "" : item.c_str() + equals + 1;
    const double value = std::strtod(number, &end);
    if (end == number || *end != '\0') {
      return MakeError(ErrorCode::InvalidField, item + ": must be VERSION=NUMBER");
    }
    numbers[item.substr(0, equals)] = value;
  }
  return numbers;
}

fennelline::EngineOptions OptionsFromFlags() {
  fennelline::EngineOptions options;
  options.m_versions = SplitNames(FLAGS_versions);
  options.m_slots = FLAGS_slots;
  options.m_maxQueued = FLAGS_most_queued;
  options.m_tokensPerSecond = FLAGS_tokens_per_second;
  options.m_promptTokensPerSecond = FLAGS_prompt_tokens_per_second;
  options.m_fullBatchSlowdown = FLAGS_full_batch_slowdown;
  options.m_cacheBlocks = static_cast<std::size_t>(FLAGS_cache_blocks);
  options.m_cacheLag = fennelline::Milliseconds(FLAGS_cache_lag_ms);
  options.m_loadLag = fennelline::Milliseconds(FLAGS_load_lag_ms);
  options.m_loadTime = fennelline::Milliseconds(FLAGS_load_time_ms);
  options.m_platformAddress = FLAGS_platform;
  options.m_checksFence = FLAGS_check_fence;
  options.m_seed = FLAGS_seed;
  return options;
}

Result<fennelline::EngineSwitches> SwitchesFromFlags() {
  fennelline::EngineSwitches switches;
  switches.m_badRate = TRY(SplitNumbers(FLAGS_bad_rate));
  switches.m_pace = TRY(SplitNumbers(FLAGS_pace));
  switches.m_crashMarker = FLAGS_crash_marker;
  return switches;
}

} // namespace

int main(int aCount, char** aArguments) {
  constexpr int kUsageError = 2;
  gflags::SetUsageMessage("Stands in for a model engine with continuous batching.");
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  fennelline::BlockStopSignals();
  Result<fennelline::EngineSwitches> switches = SwitchesFromFlags();
  if (switches.IsError()) {
    std::cerr << switches.GetError().m_detail << "\n";
    return kUsageError;
  }
  fennelline::Engine engine(OptionsFromFlags());
  {
    const std::lock_guard<std::mutex> lock(engine.m_mutex);
    engine.m_switches = switches.Take();
  }
  fennelline::StandinServer server({.m_name = "standin-engine",
                                    .m_address = FLAGS_address,
                                    .m_port = FLAGS_port,
                                    .m_portsFile = FLAGS_ports_file});
  fennelline::AddChatRoutes(server, engine);
  fennelline::AddEngineRoutes(server, engine);
  return server.Run();
}
