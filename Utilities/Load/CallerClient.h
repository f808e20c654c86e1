#pragma once

#include "LibBase/Time.h"
#include "LibPlatform/HttpTransport.h"

#include <cstdint>
#include <functional>
#include <string>

namespace fennelline {

/// A request as a caller sends it.
struct CallerCall {
  std::string m_address;
  std::string m_path;
  HttpHeaders m_headers;
  std::string m_body;
  Duration m_timeout = Seconds(60);
};

enum class CallOutcome { Answered, Refused, Failed };

/// What came back.
struct CallerAnswer {
  CallOutcome m_outcome = CallOutcome::Failed;
  int m_status = 0;
  /// The problem's code, or what went wrong on the way.
  std::string m_code;
  std::string m_version;
  std::int64_t m_costMicros = 0;
  /// When the first piece of text came; kNever where none came.
  Time m_firstToken = kNever;
};

/// Sends a request and follows its answer, streamed or whole. Blocks.
CallerAnswer CallEntry(HttpTransport& aTransport, const CallerCall& aCall,
                       const std::function<Time()>& aNow);

} // namespace fennelline
