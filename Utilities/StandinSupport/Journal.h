#pragma once

#include <cstddef>
#include <mutex>
#include <string>
#include <vector>

namespace fennelline {

/// One run of a request on a stand-in.
struct JournalRun {
  std::string m_attempt;
  /// The version or the operation.
  std::string m_what;
  std::string m_bodyHash;
  /// "queued", "running", "finished", "cancelled" or "refused".
  std::string m_state;
  /// Milliseconds since 1970 at its arrival.
  std::int64_t m_atMs = 0;
};

/// Every run since the start, so that a test counts them by itself.
class Journal {
public:
  /// aWhatName is "version" or "operation".
  explicit Journal(std::string aWhatName);

  /// The run's number.
  std::size_t Add(const std::string& aAttempt, const std::string& aWhat, const std::string& aBody,
                  const std::string& aState);
  void SetState(std::size_t aRun, const std::string& aState);
  std::string ToJson() const;

private:
  std::string m_whatName;
  mutable std::mutex m_mutex;
  std::vector<JournalRun> m_runs;
};

} // namespace fennelline
