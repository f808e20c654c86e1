#pragma once

#include "LibBase/Error.h"
#include "LibBase/Time.h"
#include "Services/Entry/Shell/EventQueue.h"
#include "Services/Entry/Shell/PendingAnswers.h"

#include <atomic>
#include <memory>
#include <string>
#include <thread>

namespace fennelline {

struct CallerServerSettings {
  std::string m_address;
  int m_port = 0;
  Duration m_entryListLife = Seconds(5);
  std::size_t m_maxBodyBytes = 4UL * 1'024 * 1'024;
  /// Maximum number of concurrent connections; each uses a thread.
  std::size_t m_maxConnections = 512;
  /// Read and write timeout, after which the caller's connection is closed.
  Duration m_silenceLimit = Seconds(10);
};

/// The HTTP server for callers. It converts requests to events and writes the responses.
class CallerServer {
public:
  CallerServer(CallerServerSettings aSettings, EventQueue& aQueue, PendingAnswers& aAnswers);
  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  /// Binds the socket and returns the port. Requests are served after Start().
  Result<int> Bind();
  void Start();
  /// Stops accepting connections, closes idle ones and waits for responses in flight.
  void Stop();

private:
  struct Server;
  std::unique_ptr<Server> m_server;
};

} // namespace fennelline
