#pragma once

#include "LibCoordination/Effect.h"
#include "Services/Entry/Event.h"

#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace fennelline {

/// Starts the response to a caller. For a stream, chunks follow; otherwise the next chunk is the
/// whole body.
struct AnswerHead {
  CallerId m_caller = 0;
  int m_status = 200;
  std::string m_contentType;
  std::vector<std::pair<std::string, std::string>> m_headers;
  bool m_stream = false;
};

struct AnswerChunk {
  CallerId m_caller = 0;
  std::string m_bytes;
};

/// Ends the response. Emitted exactly once per caller, as its last effect.
struct AnswerEnd {
  CallerId m_caller = 0;
};

/// Sends a request to a backend server.
struct CallBackend {
  BackendCallId m_call = 0;
  BackendServerId m_backendServer;
  std::string m_address;
  /// "/v1/chat/completions" or "/v1/services/NAME/OPERATION".
  std::string m_path;
  std::string m_body;
  /// Sent as Fennelline-Attempt: globally unique, and unchanged when a stream is resumed.
  std::string m_attempt;
  std::string m_version;
  int m_priority = 0;
  bool m_stream = false;
  /// Resume the stream of m_attempt after event m_resumeAfter instead of starting a new run.
  bool m_resume = false;
  std::uint64_t m_resumeAfter = 0;
  /// After this time the call ends with BackendFailed (Broken).
  Duration m_timeout{0};
  /// Idle timeout of a stream, after which the connection counts as broken.
  Duration m_silence{0};
};

/// Cancels a call whose result is no longer needed. Later events of the call are ignored.
struct CancelBackend {
  BackendCallId m_call = 0;
  BackendServerId m_backendServer;
  std::string m_address;
  std::string m_attempt;
};

/// Submits an answer to the rating service.
struct SubmitRating {
  std::uint64_t m_rating = 0;
  std::string m_kind;
  std::string m_version;
  std::string m_prompt;
  std::string m_answer;
};

/// The process may exit: nothing is in flight, or the stop limit has passed.
struct StopNow {
  bool m_clean = true;
};

using EntryEffect =
  std::variant<SendMessage, SendDatagram, CallPlatform, RecordTimeline, AnswerHead, AnswerChunk,
               AnswerEnd, CallBackend, CancelBackend, SubmitRating, StopNow>;
using EntryEffects = std::vector<EntryEffect>;

} // namespace fennelline
