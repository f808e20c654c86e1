#include "LibBase/Signals.h"
#include "Utilities/Relay/Relay.h"
#include "Utilities/StandinSupport/StandinServer.h"

#include <gflags/gflags.h>
#include <httplib.h>
#include <iostream>
#include <nlohmann/json.hpp>

// NOLINTBEGIN(readability-identifier-naming,readability-redundant-declaration)
DEFINE_string(target, "", "IP:PORT that connections are forwarded to");
DEFINE_int32(relay_port, 0, "port to accept connections on; 0 picks a free one, see GET /relay");
DEFINE_int32(port, 0, "port for GET /relay and POST /control; 0 picks a free one");
DEFINE_string(ports_file, "", "file that {\"port\": N} is written to once the server is ready");
// NOLINTEND(readability-identifier-naming,readability-redundant-declaration)

int main(int aCount, char** aArguments) {
  constexpr int kUsageError = 2;
  gflags::SetUsageMessage(
    "Forwards TCP connections, and closes them or drops their data on demand.");
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  fennelline::BlockStopSignals();
  if (FLAGS_target.find(':') == std::string::npos) {
    std::cerr << "--target must be IP:PORT\n";
    return kUsageError;
  }
  fennelline::Relay relay(FLAGS_target);
  const fennelline::Result<int> port = relay.Start(FLAGS_relay_port);
  if (port.IsError()) {
    std::cerr << port.GetError().m_detail << "\n";
    return 1;
  }
  fennelline::StandinServer server(
    {.m_name = "relay", .m_port = FLAGS_port, .m_portsFile = FLAGS_ports_file});
  server.Routes().Get("/relay", [&](const httplib::Request&, httplib::Response& aResponse) {
    const nlohmann::json body = {{"port", port.Get()}, {"open", relay.OpenConnections()}};
    constexpr int kOk = 200;
    fennelline::AnswerJson(aResponse, kOk, body.dump());
  });
  server.OnControl([&](fennelline::FieldReader& aReader) {
    if (aReader.Boolean("silence_open", false)) {
      relay.SilenceOpen();
    }
    if (aReader.Boolean("cut_open", false)) {
      relay.CutOpen();
    }
    if (aReader.Has("silence_new")) {
      relay.SetSilenceNew(aReader.Boolean("silence_new", false));
    }
  });
  return server.Run();
}
