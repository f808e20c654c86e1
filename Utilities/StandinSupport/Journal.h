#pragma once

#include <cstddef>
#include <mutex>
#include <string>
#include <vector>

namespace fennelline {

/// One execution of a request on a stand-in.
struct JournalRun {
  std::string m_attempt;
  /// The model version or the service operation.
  std::string m_subject;
  std::string m_bodyHash;
  /// "queued", "running", "finished", "cancelled" or "refused".
  std::string m_state;
  /// Arrival as Unix time in milliseconds.
  std::int64_t m_atMs = 0;
};

/// Records every run since the start, so that tests can count executions independently of the
/// router.
class Journal {
public:
  /// aSubjectField is the JSON field of the subject, "version" or "operation".
  explicit Journal(std::string aSubjectField);

  /// Returns the index of the run.
  std::size_t Add(const std::string& aAttempt, const std::string& aSubject,
                  const std::string& aBody, const std::string& aState);
  void SetState(std::size_t aRun, const std::string& aState);
  std::string ToJson() const;

private:
  std::string m_subjectField;
  mutable std::mutex m_mutex;
  std::vector<JournalRun> m_runs;
};

} // namespace fennelline
