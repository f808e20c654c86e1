#pragma once

#include "LibBase/NameTable.h"
#include "LibBase/Time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace fennelline {

/// Whether the process of a backend server still runs.
enum class ServerLiveness : std::uint8_t {
  /// It has answered a health check.
  Runs,
  /// Nothing listens at its address, or another process does.
  Ended,
  /// No health check was answered in time, whether or not connections are accepted: the system
  /// accepts them for a process that hangs, and until the listener of one that ends is closed.
  Unknown,
};

constexpr NameTable<ServerLiveness, 3> kServerLivenessNames = {{
  {ServerLiveness::Runs, "runs"},
  {ServerLiveness::Ended, "ended"},
  {ServerLiveness::Unknown, "unknown"},
}};

/// A request that a server answers without running it.
struct HealthCheck {
  std::string m_id;
  std::string m_address;
  /// The id of the server that is asked.
  std::string m_server;
  Duration m_timeLeft{0};
};

/// What the head of a response to a health check says.
struct HealthReply {
  /// The id of the server that sent it; empty if it has none.
  std::string m_server;
  /// The id of the request that it answers; empty if it has none.
  std::string m_requestId;
  /// It was rejected because another server than the expected one has received it.
  bool m_isMisdirected = false;
};

/// Judges a response that was received at the address of aServer after the health check aCheck.
/// None if the response may be one to an earlier request on the same connection.
inline std::optional<ServerLiveness> JudgeHealthReply(const HealthReply& aReply,
                                                      const std::string& aServer,
                                                      const std::string& aCheck) {
  const bool isOther = !aReply.m_requestId.empty() && aReply.m_requestId != aCheck;
  if (isOther || (aReply.m_server.empty() && aReply.m_requestId.empty())) {
    return std::nullopt;
  }
  const bool isFromServer =
    aReply.m_server.empty() ? !aReply.m_isMisdirected : aReply.m_server == aServer;
  return isFromServer ? ServerLiveness::Runs : ServerLiveness::Ended;
}

} // namespace fennelline
