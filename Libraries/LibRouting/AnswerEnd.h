#pragma once

#include "LibRouting/ServerLiveness.h"

#include <cstdint>
#include <optional>

namespace fennelline {

/// What is known of a server's response once its connection or its framing has ended it.
struct AnswerEnd {
  /// The response has neither a length nor chunks, and its connection was closed in an orderly way.
  bool m_endsAtClose = false;
  bool m_isStream = false;
  /// The stream ended inside an event.
  bool m_hasPartialEvent = false;
  /// The stream has no event although it should have at least one.
  bool m_lacksEvents = false;
  /// Whether the server's process ran after the end of the response; none if that was not checked.
  std::optional<ServerLiveness> m_server;
};

enum class EndVerdict : std::uint8_t {
  Whole,
  /// The response ended before it was complete.
  Cut,
  /// The response is complete by its framing, but is not what was asked for.
  Corrupt,
  /// It depends on whether the server's process still runs.
  AskServer,
};

constexpr NameTable<EndVerdict, 4> kEndVerdictNames = {{
  {EndVerdict::Whole, "whole"},
  {EndVerdict::Cut, "cut"},
  {EndVerdict::Corrupt, "corrupt"},
  {EndVerdict::AskServer, "ask-server"},
}};

/// Decides what the end of a response means. The system of a process that is killed or exits closes
/// its connections in the same way as a process that has sent its whole response, so a response
/// that ends with its connection is whole only if the process is known to have run after that. This
/// holds for a server that is leaving, too: it may exit in the middle of a response. Without that
/// knowledge the response counts as cut: a whole one that is fetched again costs a run, while a
/// part that passes for the whole deceives the caller.
constexpr EndVerdict JudgeEnd(const AnswerEnd& aEnd) {
  if (aEnd.m_isStream && (aEnd.m_hasPartialEvent || aEnd.m_lacksEvents)) {
    return aEnd.m_endsAtClose ? EndVerdict::Cut : EndVerdict::Corrupt;
  }
  if (!aEnd.m_endsAtClose) {
    return EndVerdict::Whole;
  }
  if (!aEnd.m_server) {
    return EndVerdict::AskServer;
  }
  return *aEnd.m_server == ServerLiveness::Runs ? EndVerdict::Whole : EndVerdict::Cut;
}

} // namespace fennelline
