#pragma once

#include "LibBase/Error.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace fennelline {

/// Forwards TCP connections to a target. It can close them or silently drop their data, like a
/// network device that has lost its connection state.
class Relay {
public:
  /// aTarget is "IP:PORT".
  explicit Relay(std::string aTarget);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  /// Listens on aPort of 127.0.0.1, or on a free port if it is 0, and returns the port.
  Result<int> Start(int aPort);
  /// Permanently drops all further data of the open connections in both directions. New
  /// connections are not affected.
  void SilenceOpen();
  /// Closes the open connections.
  void CutOpen();
  /// Sets whether the data of new connections is dropped.
  void SetSilenceNew(bool aSilence) { m_silenceNew = aSilence; }
  std::size_t OpenConnections();

private:
  struct Connection {
    int m_caller = -1;
    int m_target = -1;
    std::atomic<bool> m_silent{false};
    std::atomic<int> m_openDirections{2};
  };

  void Accept();
  void Open(int aCaller);
  void Pump(const std::shared_ptr<Connection>& aConnection, bool aToTarget);
  void CloseFinished();

  std::string m_target;
  int m_listener = -1;
  std::atomic<bool> m_stopping{false};
  std::atomic<bool> m_silenceNew{false};
  std::mutex m_mutex;
  std::vector<std::shared_ptr<Connection>> m_connections;
  std::vector<std::thread> m_pumps;
  std::thread m_acceptor;
};

} // namespace fennelline
