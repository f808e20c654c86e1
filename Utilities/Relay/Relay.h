#pragma once

#include "LibBase/Error.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace fennelline {

/// Passes TCP connections on to a target, and can cut them or go silent, as a network device that
/// has lost track of a connection does.
class Relay {
public:
  /// aTarget is "IP:PORT".
  explicit Relay(std::string aTarget);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  /// Listens on a free port of 127.0.0.1, or on aPort, and returns it.
  Result<int> Start(int aPort);
  /// From now on bytes of the open connections are dropped, both ways and for good. New
  /// connections work.
  void SilenceOpen();
  /// Closes the open connections.
  void CutOpen();
  /// Whether bytes of new connections are dropped too.
  void SetSilenceNew(bool aSilence) { m_silenceNew = aSilence; }
  std::size_t OpenConnections();

private:
  struct Connection {
    int m_caller = -1;
    int m_target = -1;
    std::atomic<bool> m_silent{false};
    std::atomic<int> m_openWays{2};
  };

  void Accept();
  void Open(int aCaller);
  void Pump(const std::shared_ptr<Connection>& aConnection, bool aTowardsTarget);
  void ForgetEnded();

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
