#pragma once

#include "LibBase/NameTable.h"
#include "LibHttp/MessageParser.h"

#include <cstdint>
#include <functional>
#include <string>

namespace fennelline {

/// How far a call progressed before it failed, in order of progress.
enum class CallFailure : std::uint8_t {
  /// Nothing listens at the server's address.
  Refused,
  /// The connection could not be established, or failed before any request byte was written.
  NotSent,
  /// The server may have read the request, but sent no response.
  NoResponse,
  /// The connection ended in the middle of the response.
  TruncatedResponse,
  /// The received bytes are not a valid HTTP response.
  Malformed,
};

constexpr NameTable<CallFailure, 5> kCallFailureNames = {{
  {CallFailure::Refused, "refused"},
  {CallFailure::NotSent, "not-sent"},
  {CallFailure::NoResponse, "no-answer"},
  {CallFailure::TruncatedResponse, "broken-answer"},
  {CallFailure::Malformed, "malformed"},
}};

/// Whether to accept a response for the current call, or to skip it because it belongs to an
/// earlier call.
enum class HeadAction : std::uint8_t { Accept, Skip };

struct CallListener {
  std::function<HeadAction(const MessageHead&)> m_onHead;
  /// Called with body bytes as they arrive. Not called for an empty body.
  std::function<void(const std::string&)> m_onBody;
  std::function<void()> m_onComplete;
  std::function<void(CallFailure)> m_onFailed;
};

} // namespace fennelline
