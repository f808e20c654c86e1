#include "LibBase/Signals.h"
#include "Utilities/StandinPlatform/Platform.h"

#include <gflags/gflags.h>

// NOLINTBEGIN(readability-identifier-naming,readability-redundant-declaration)
DEFINE_string(address, "127.0.0.1", "IP address to listen on");
DEFINE_int32(port, 0, "port to listen on; 0 picks a free one");
DEFINE_string(ports_file, "", "file that {\"port\": N} is written to once the server is ready");
DEFINE_int64(writes_per_second, 400, "accepted key-value writes per second");
DEFINE_int64(reads_per_second, 2000, "accepted key-value reads and watches per second");
DEFINE_int64(vm_lag_ms, 0, "delay of VM list updates in milliseconds");
DEFINE_int64(weight_time_ms, 200, "time to send the weights of one version, in milliseconds");
DEFINE_int64(most_waiting_loads, 4, "maximum number of loads that wait for weights");
DEFINE_int64(rating_delay_ms, 50, "delay of the rating service in milliseconds");
DEFINE_uint64(seed, 1, "seed of the random number generator");
// NOLINTEND(readability-identifier-naming,readability-redundant-declaration)

int main(int aCount, char** aArguments) {
  gflags::SetUsageMessage("Stands in for the platform: key-value service, VM list, weight store "
                          "and rating service.");
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  fennelline::BlockStopSignals();
  fennelline::Platform platform;
  platform.m_switches.m_writesPerSecond = FLAGS_writes_per_second;
  platform.m_switches.m_readsPerSecond = FLAGS_reads_per_second;
  platform.m_switches.m_vmLag = fennelline::Milliseconds(FLAGS_vm_lag_ms);
  platform.m_switches.m_weightTime = fennelline::Milliseconds(FLAGS_weight_time_ms);
  platform.m_switches.m_maxWaitingLoads = FLAGS_most_waiting_loads;
  platform.m_switches.m_ratingDelay = fennelline::Milliseconds(FLAGS_rating_delay_ms);
  platform.m_random = fennelline::Random(FLAGS_seed);
  fennelline::StandinServer server({.m_name = "standin-platform",
                                    .m_address = FLAGS_address,
                                    .m_port = FLAGS_port,
                                    .m_portsFile = FLAGS_ports_file});
  fennelline::AddKeyValueRoutes(server, platform);
  fennelline::AddPlatformRoutes(server, platform);
  return server.Run();
}
