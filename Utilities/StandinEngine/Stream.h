#pragma once

#include "LibBase/Time.h"
#include "Utilities/StandinEngine/Script.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fennelline {

enum class StreamState { Queued, Running, Finished, Cancelled };

/// One request on the stand-in engine. Guarded by the mutex of the engine.
struct Stream {
  std::string m_attempt;
  std::string m_version;
  std::string m_prompt;
  std::int64_t m_promptTokens = 0;
  int m_priority = 0;
  /// Among streams of equal priority, the lower number starts first.
  std::uint64_t m_arrival = 0;
  std::size_t m_journalRun = 0;
  Script m_script;

  StreamState m_state = StreamState::Queued;
  /// When the prefill of the uncached part of the prompt ends; no token is produced before.
  Time m_prefillEndsAt;
  double m_tokenCredit = 0.0;
  std::int64_t m_done = 0;
  /// The total number of tokens after each event; event N is at index N - 1.
  std::vector<std::int64_t> m_eventEnds;
  Time m_endedAt;

  bool HasEnded() const {
    return m_state == StreamState::Finished || m_state == StreamState::Cancelled;
  }
};

/// Returns the JSON body of a complete, non-streamed response.
std::string CompleteBody(const Stream& aStream);
/// Returns event aNumber of the stream as "id: N\ndata: {...}\n\n".
std::string EventText(const Stream& aStream, std::uint64_t aNumber);
/// Returns the last two events: the usage and "[DONE]".
std::string EndingText(const Stream& aStream);

} // namespace fennelline
