#pragma once

#include "LibBase/Time.h"
#include "LibPlatform/HttpTransport.h"

#include <cstdint>
#include <functional>
#include <string>

namespace fennelline {

/// A request to send as a caller.
struct CallerCall {
  std::string m_address;
  std::string m_path;
  HttpHeaders m_headers;
  std::string m_body;
  Duration m_timeout = Seconds(60);
};

enum class CallOutcome { Answered, Refused, Failed };

/// The result of a call.
struct CallerAnswer {
  CallOutcome m_outcome = CallOutcome::Failed;
  int m_status = 0;
  /// The error code from the response body, or the kind of transport failure.
  std::string m_code;
  std::string m_version;
  std::int64_t m_costMicros = 0;
  /// When the first text arrived; kNever if none did.
  Time m_firstToken = kNever;
};

/// Sends a request and reads its response, streamed or complete. Blocks.
CallerAnswer CallEntry(HttpTransport& aTransport, const CallerCall& aCall,
                       const std::function<Time()>& aNow);

} // namespace fennelline
