#include "LibBase/Signals.h"
#include "Utilities/StandinService/Service.h"

#include <gflags/gflags.h>

// NOLINTBEGIN(readability-identifier-naming,readability-redundant-declaration)
DEFINE_string(address, "127.0.0.1", "IP address to listen on");
DEFINE_int32(port, 0, "port to listen on; 0 picks a free one");
DEFINE_string(ports_file, "", "file that {\"port\": N} is written to once the server is ready");
DEFINE_string(name, "counter", "the service's name");
DEFINE_int64(slots, 8, "maximum number of concurrent requests");
DEFINE_int64(work_ms, 2, "duration of an operation in milliseconds");
DEFINE_string(crash_marker, "", "a request body that contains this text ends the process");
// NOLINTEND(readability-identifier-naming,readability-redundant-declaration)

int main(int aCount, char** aArguments) {
  gflags::SetUsageMessage("Stands in for a plain service with the operations stock, reserve and "
                          "quote.");
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  fennelline::BlockStopSignals();
  fennelline::Service service;
  service.m_name = FLAGS_name;
  service.m_slots = FLAGS_slots;
  service.m_workTime = fennelline::Milliseconds(FLAGS_work_ms);
  service.m_crashMarker = FLAGS_crash_marker;
  fennelline::StandinServer server({.m_name = "standin-service",
                                    .m_address = FLAGS_address,
                                    .m_port = FLAGS_port,
                                    .m_portsFile = FLAGS_ports_file});
  fennelline::AddServiceRoutes(server, service);
  return server.Run();
}
