#pragma once

#include "LibBase/Time.h"
#include "Utilities/StandinEngine/Script.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fennelline {

enum class StreamState { Queued, Running, Finished, Cancelled };

/// One request on the stand-in engine. Guarded by the engine's mutex.
struct Stream {
  std::string m_attempt;
  std::string m_version;
  std::string m_prompt;
  std::int64_t m_promptTokens = 0;
  int m_priority = 0;
  /// Lower numbers of equal priority start first.
  std::uint64_t m_arrival = 0;
  std::size_t m_journalRun = 0;
  Script m_script;

  StreamState m_state = StreamState::Queued;
  /// No token before this: the prompt's unknown part has to be read.
  Time m_promptReadAt;
  double m_tokenCredit = 0.0;
  std::int64_t m_done = 0;
  /// The number of tokens done at the end of each event; event N is at index N - 1.
  std::vector<std::int64_t> m_eventEnds;
  Time m_endedAt;

  bool HasEnded() const {
    return m_state == StreamState::Finished || m_state == StreamState::Cancelled;
  }
};

/// The customary body of a whole answer.
std::string WholeBody(const Stream& aStream);
/// Event aNumber of the stream as "id: N\ndata: {...}\n\n".
std::string EventText(const Stream& aStream, std::uint64_t aNumber);
/// The last two events: the usage and "[DONE]".
std::string EndingText(const Stream& aStream);

} // namespace fennelline
