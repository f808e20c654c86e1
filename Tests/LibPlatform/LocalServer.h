#pragma once

#include <httplib.h>
#include <string>
#include <thread>

namespace fennelline {

/// A loopback HTTP server for tests.
class LocalServer {
public:
  LocalServer()
    : m_port(m_server.bind_to_any_port("127.0.0.1")) {}
  ~LocalServer() {
    m_server.stop();
    if (m_thread.joinable()) {
      m_thread.join();
    }
  }
  LocalServer(const LocalServer&) = delete;
  LocalServer& operator=(const LocalServer&) = delete;

  httplib::Server& Routes() { return m_server; }
  void Start() {
    m_thread = std::thread([this] { m_server.listen_after_bind(); });
    // stop() has no effect before the server runs, so the thread would never terminate.
    while (!m_server.is_running()) {
      std::this_thread::yield();
    }
  }
  std::string Address() const { return "127.0.0.1:" + std::to_string(m_port); }

private:
  httplib::Server m_server;
  int m_port;
  std::thread m_thread;
};

} // namespace fennelline
