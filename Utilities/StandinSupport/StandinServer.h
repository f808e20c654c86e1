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
  /// 0 takes a free port.
  int m_port = 0;
  std::string m_portsFile;
};

/// The HTTP server of a stand-in: routes, POST /control, the ports file and the graceful stop.
class StandinServer {
public:
  explicit StandinServer(StandinOptions aOptions);
  ~StandinServer();
  StandinServer(const StandinServer&) = delete;
  StandinServer& operator=(const StandinServer&) = delete;

  httplib::Server& Routes() { return *m_server; }
  /// aApply reads the switches of one POST /control; a field that it does not ask for is refused.
  void OnControl(std::function<void(FieldReader&)> aApply);
  /// Called once the stop signal has come, so that waiting handlers end.
  void OnStop(std::function<void()> aStop) { m_onStop = std::move(aStop); }

  /// Serves until SIGTERM or SIGINT and answers what is in flight. Returns the exit code.
  int Run();

private:
  StandinOptions m_options;
  std::unique_ptr<httplib::Server> m_server;
  std::function<void()> m_onStop = [] {};
};

/// Writes a JSON answer.
void AnswerJson(httplib::Response& aResponse, int aStatus, const std::string& aBody);
/// Writes {"error": CODE, "detail": DETAIL}.
void AnswerError(httplib::Response& aResponse, int aStatus, const std::string& aCode,
                 const std::string& aDetail = "");
/// Sends the head of an answer and then closes the connection, so that no whole reply comes.
void AnswerTruncated(httplib::Response& aResponse);

} // namespace fennelline
