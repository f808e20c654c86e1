#pragma once

#include "LibBase/Error.h"

#include <cstdint>
#include <istream>
#include <string>
#include <string_view>
#include <vector>

namespace fennelline {

/// What made a request end as it did.
enum class RequestEndCause {
  /// Answered; whether in time is for its objective to say.
  Answered,
  /// Refused by the entry before any server was asked, such as for its path or key.
  Rejected,
  /// No configuration was known yet.
  NoConfiguration,
  /// The entry was stopping.
  Stopping,
  /// No server could be used.
  NoServer,
  /// Every server that was asked turned it away as not run.
  RejectedByServers,
  /// A server's connection broke.
  ConnectionLost,
  /// What a server sent was no answer in the protocol.
  MalformedAnswer,
  /// A server's own failure was passed on.
  ServerFailure,
  /// Its time was over.
  DeadlineExceeded,
  CallerLeft,
  /// No end was logged: the process ended first, or the line was over the log's budget.
  NoEndLogged,
};

std::string_view NameOf(RequestEndCause aCause);

/// One line of a story: of the request itself, or of something else that bears on it.
struct ExplanationLine {
  /// Unix milliseconds by the clock of the process that wrote it.
  std::int64_t m_at = 0;
  bool m_isOwn = true;
  std::string m_text;
};

struct RequestExplanation {
  RequestEndCause m_cause = RequestEndCause::NoEndLogged;
  /// One sentence with the figures that show the cause.
  std::string m_summary;
  /// In order of time.
  std::vector<ExplanationLine> m_lines;
};

/// Tells a request's story from the log lines of any number of fennelline-edge processes. Lines
/// that are not JSON are passed over, as logs may hold other text. NotFound where no line has the
/// id.
Result<RequestExplanation> ExplainRequest(std::istream& aLogs, const std::string& aRequest);

/// For people, a line each.
std::string RenderExplanation(const RequestExplanation& aStory);

} // namespace fennelline
