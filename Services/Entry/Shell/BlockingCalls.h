#pragma once

#include <functional>
#include <memory>

namespace fennelline {

/// Runs calls that block (on backend servers and the platform) on threads of their own arena, so
/// that the reducer never waits.
class BlockingCalls {
public:
  explicit BlockingCalls(int aMostAtOnce);
  /// Waits for the calls that still run.
  ~BlockingCalls();
  BlockingCalls(const BlockingCalls&) = delete;
  BlockingCalls& operator=(const BlockingCalls&) = delete;

  void Run(std::function<void()> aCall);

private:
  struct Arena;
  std::unique_ptr<Arena> m_arena;
};

} // namespace fennelline
