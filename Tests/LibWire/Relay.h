#pragma once

#include <atomic>
#include <cstddef>
#include <string>
#include <thread>

namespace fennelline::test {

/// Stands between two ends of TCP connections and forwards their bytes, until it is told to lose
/// track of the connections it has: they stay open and carry nothing more, while new ones work.
class Relay {
public:
  explicit Relay(std::string aTarget);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  std::string Address() const;
  void SilencePresentConnections() { m_silence = true; }
  /// From now on, present connections forward bytes to the target and none back.
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
