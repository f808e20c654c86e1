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
  /// Connections served at once; each has a thread.
  std::size_t m_mostConnections = 512;
  /// A caller that sends or takes nothing for this long is cut off.
  Duration m_silenceLimit = Seconds(10);
};

/// The HTTP server for callers. It reads requests, turns them into events, and writes the answers.
class CallerServer {
public:
  CallerServer(CallerServerSettings aSettings, EventQueue& aQueue, PendingAnswers& aAnswers);
  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  /// Binds and returns the port. Requests are served from Start() on.
  Result<int> Bind();
  void Start();
  /// Takes no new connections, ends idle ones and waits for the answers in flight.
  void Stop();

private:
  struct Server;
  std::unique_ptr<Server> m_server;
};

} // namespace fennelline
