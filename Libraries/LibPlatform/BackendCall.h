#pragma once

#include "LibBase/Time.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace fennelline {

/// One call to a backend server, as the clients of this library send it.
struct BackendRequest {
  /// "IP:PORT".
  std::string m_address;
  std::string m_path;
  std::string m_body;
  /// Sent as Fennelline-Attempt.
  std::string m_attempt;
  /// The version to run, put into the body's "model". Empty for plain services.
  std::string m_version;
  int m_priority = 0;
  bool m_stream = false;
  /// Resume the attempt's stream after this event, instead of starting it.
  bool m_resume = false;
  std::uint64_t m_resumeAfter = 0;
  Duration m_timeout = Seconds(60);
  /// The longest silence within a stream before the connection counts as broken.
  Duration m_silence = Seconds(2);
};

/// How a call failed.
enum class BackendCallFailure : std::uint8_t {
  /// No byte of the request was sent: it did not run.
  NotSent,
  /// The backend server refused it and says that it did not run.
  Refused,
  /// The connection broke or went silent after the request was sent: it may have run.
  Broken,
  /// The backend server answered that it failed.
  ServerError,
  /// A stream cannot be resumed.
  StreamLost,
};

struct BackendUsage {
  std::int64_t m_inputTokens = 0;
  std::int64_t m_outputTokens = 0;
  /// The version that the backend server says it ran.
  std::string m_version;
};

/// What a call tells while it runs, from the thread that made the call. Each call ends with exactly
/// one of m_finished and m_failed, also when it is cancelled (as Broken).
struct BackendObserver {
  /// The head of a good answer.
  std::function<void(int aStatus, const std::string& aContentType)> m_head;
  /// For a stream: one event as "data: {...}\n\n"; the closing "data: [DONE]" is left out, since
  /// m_finished tells the end. Otherwise the whole body, as event 0.
  std::function<void(std::string aBytes, std::uint64_t aEvent, std::int64_t aTokens)> m_chunk;
  std::function<void(const BackendUsage&)> m_finished;
  std::function<void(BackendCallFailure, const std::string& aDetail)> m_failed;
};

/// A backend server's own report of its load, as it was some time ago.
struct BackendLoad {
  std::int64_t m_running = 0;
  std::int64_t m_queued = 0;
  std::int64_t m_queuedTokens = 0;
  double m_tokensPerSecond = 0.0;
  std::int64_t m_slots = 0;
  std::vector<std::string> m_versions;
  bool m_leaving = false;
};

} // namespace fennelline
