#pragma once

#include "LibBase/Error.h"
#include "LibBase/FieldReader.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace httplib {
class Server;
struct Response;
} // namespace httplib

namespace fennelline {

struct StandinOptions {
  std::string m_name;
  std::string m_address = "127.0.0.1";
  /// 0 picks a free port.
  int m_port = 0;
  std::string m_portsFile;
};

/// The HTTP server of a stand-in: routes, POST /control, the ports file and graceful shutdown.
class StandinServer {
public:
  explicit StandinServer(StandinOptions aOptions);
  ~StandinServer();
  StandinServer(const StandinServer&) = delete;
  StandinServer& operator=(const StandinServer&) = delete;

  httplib::Server& Routes() { return *m_server; }
  /// aApply reads the switches of one POST /control; a field that it does not read is rejected.
  void OnControl(std::function<void(FieldReader&)> aApply);
  /// aStop is called after the stop signal and must make waiting handlers return.
  void OnStop(std::function<void()> aStop) { m_onStop = std::move(aStop); }

  /// Serves until SIGTERM or SIGINT, completes the requests in flight and returns the exit code.
  int Run();

private:
  StandinOptions m_options;
  std::unique_ptr<httplib::Server> m_server;
  std::function<void()> m_onStop = [] {};
};

/// Sets a JSON response.
void AnswerJson(httplib::Response& aResponse, int aStatus, const std::string& aBody);
/// Sets the response {"error": CODE, "detail": DETAIL}.
void AnswerError(httplib::Response& aResponse, int aStatus, const std::string& aCode,
                 const std::string& aDetail = "");
/// Sends only the response head and closes the connection, so that the reply is incomplete.
void AnswerTruncated(httplib::Response& aResponse);

} // namespace fennelline
