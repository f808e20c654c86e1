#include "Utilities/StandinSupport/Journal.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace fennelline {

namespace {

std::int64_t UnixMilliseconds() {
  const std::chrono::system_clock::duration sinceEpoch =
    std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

} // namespace

Journal::Journal(std::string aSubjectField)
  : m_subjectField(std::move(aSubjectField)) {}

std::size_t Journal::Add(const std::string& aAttempt, const std::string& aSubject,
                         const std::string& aBody, const std::string& aState) {
  const std::string hash = std::to_string(XXH64(aBody.data(), aBody.size(), 0));
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_runs.push_back({aAttempt, aSubject, hash, aState, UnixMilliseconds()});
  return m_runs.size() - 1;
}

void Journal::SetState(std::size_t aRun, const std::string& aState) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_runs[aRun].m_state = aState;
}

std::string Journal::ToJson() const {
  nlohmann::json runs = nlohmann::json::array();
  const std::lock_guard<std::mutex> lock(m_mutex);
  for (const JournalRun& run : m_runs) {
    runs.push_back({{"attempt", run.m_attempt},
                    {m_subjectField, run.m_subject},
                    {"body_hash", run.m_bodyHash},
                    {"state", run.m_state},
                    {"at_ms", run.m_atMs}});
  }
  return nlohmann::json{{"runs", runs}}.dump();
}

} // namespace fennelline
