#pragma once

#include "LibHttp/MessageParser.h"

#include <optional>
#include <string_view>

namespace fennelline {

/// Why a request is rejected because of its head.
struct HeadProblem {
  int m_status = 0;
  std::string_view m_reason;
};

/// Returns what makes a request head unacceptable, or nothing if it is valid. A head that leaves
/// open where its body ends, or whom it is for, could be read differently by a backend server.
std::optional<HeadProblem> FindHeadProblem(const MessageHead& aHead);

} // namespace fennelline
