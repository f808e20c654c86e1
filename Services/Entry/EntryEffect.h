#pragma once

#include "LibCoordination/Effect.h"
#include "Services/Entry/Event.h"

#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace fennelline {

/// Starts the answer to a caller. For a stream, chunks follow; otherwise the next chunk is the
/// body.
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

/// Ends the answer. A caller gets this once, as the last effect for it.
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
  /// Sent as Fennelline-Attempt: unique for ever, the same when a stream is resumed.
  std::string m_attempt;
  std::string m_version;
  int m_priority = 0;
  bool m_stream = false;
  /// Resume the stream of m_attempt after this event, instead of starting it.
  bool m_resume = false;
  std::uint64_t m_resumeAfter = 0;
  /// The call ends with BackendFailed (Broken) when it takes longer.
  Duration m_timeout{0};
  /// The longest silence within a stream before the connection counts as broken.
  Duration m_silence{0};
};

/// Cancels a call: its result is of no more use. No further event of it will be looked at.
struct CancelBackend {
  BackendCallId m_call = 0;
  BackendServerId m_backendServer;
  std::string m_address;
  std::string m_attempt;
};

/// Asks the rating service to rate an answer.
struct SubmitRating {
  std::uint64_t m_rating = 0;
  std::string m_kind;
  std::string m_version;
  std::string m_prompt;
  std::string m_answer;
};

/// The process may end: nothing is in flight, or the stop limit has passed.
struct StopNow {
  bool m_clean = true;
};

using EntryEffect =
  std::variant<SendMessage, SendDatagram, CallPlatform, RecordTimeline, AnswerHead, AnswerChunk,
               AnswerEnd, CallBackend, CancelBackend, SubmitRating, StopNow>;
using EntryEffects = std::vector<EntryEffect>;

} // namespace fennelline
