#pragma once

#include "LibBase/Error.h"

#include <cstdint>
#include <istream>
#include <string>
#include <string_view>
#include <vector>

namespace fennelline {

/// Why a request ended the way it did.
enum class RequestEndCause {
  /// Answered, in time or late.
  Answered,
  /// Rejected by the entry before any server was tried, for example for its path or key.
  Rejected,
  /// No configuration was known yet.
  NoConfiguration,
  /// The entry was stopping.
  Stopping,
  /// No server was eligible.
  NoServer,
  /// Every server that was tried rejected it without executing it.
  RejectedByServers,
  /// Servers crashed under requests with its content, so it was not sent, or not sent again.
  CrashingContent,
  /// A server's connection broke.
  ConnectionLost,
  /// A server's response violated the protocol.
  MalformedAnswer,
  /// A server's error response was forwarded to the caller.
  ServerFailure,
  /// The deadline expired.
  DeadlineExceeded,
  CallerLeft,
  /// No end was logged: the process exited first, or the line exceeded the log's rate budget.
  NoEndLogged,
};

std::string_view NameOf(RequestEndCause aCause);

/// One log line of an explanation: of the request itself, or of a related event.
struct ExplanationLine {
  /// Unix time in milliseconds, by the clock of the process that wrote the line.
  std::int64_t m_at = 0;
  bool m_isOwn = true;
  std::string m_text;
};

struct RequestExplanation {
  RequestEndCause m_cause = RequestEndCause::NoEndLogged;
  /// One sentence with the cause and the measurements that support it.
  std::string m_summary;
  /// In chronological order.
  std::vector<ExplanationLine> m_lines;
};

/// Explains the end of a request from the log lines of any number of fennelline-edge processes.
/// Lines that are not JSON are skipped, since logs may contain other text. Returns NotFound if no
/// line has the request id.
Result<RequestExplanation> ExplainRequest(std::istream& aLogs, const std::string& aRequest);

/// Formats the explanation as text: the summary, then one log line per line.
std::string RenderExplanation(const RequestExplanation& aExplanation);

} // namespace fennelline
