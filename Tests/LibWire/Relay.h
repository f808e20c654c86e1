#pragma once

#include <atomic>
#include <cstddef>
#include <string>
#include <thread>

namespace fennelline::test {

/// A TCP proxy that forwards bytes between two ends and can be told to stop forwarding on the
/// current connections. These stay open, and new connections work.
class Relay {
public:
  explicit Relay(std::string aTarget);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  std::string Address() const;
  void SilencePresentConnections() { m_silence = true; }
  /// From now on, current connections forward bytes to the target and drop those that come back.
  void LoseRepliesOfPresentConnections() { m_loseReplies = true; }
  std::size_t CountAccepted() const { return m_accepted.load(); }

private:
  void Run();

  std::string m_target;
  int m_port = 0;
  int m_listener = -1;
  std::atomic<bool> m_silence = false;
  std::atomic<bool> m_loseReplies = false;
  std::atomic<bool> m_stopping = false;
  std::atomic<std::size_t> m_accepted = 0;
  std::thread m_thread;
};

} // namespace fennelline::test
