#include "Utilities/Ctl/ExitCode.h"

namespace fennelline {

ExitCode ExitCodeOf(const Error& aError) {
  if (aError.m_code == ErrorCode::Conflict) {
    return ExitCode::Conflict;
  }
  const bool isUnreachable = aError.m_code == ErrorCode::Unavailable ||
                             aError.m_code == ErrorCode::TimedOut ||
                             aError.m_code == ErrorCode::Unauthorized;
  if (isUnreachable) {
    return ExitCode::Unavailable;
  }
  const bool isBadInput =
    aError.m_code == ErrorCode::InvalidJson || aError.m_code == ErrorCode::InvalidField ||
    aError.m_code == ErrorCode::UnknownField || aError.m_code == ErrorCode::MissingField ||
    aError.m_code == ErrorCode::InvalidConfiguration;
  return isBadInput ? ExitCode::BadInput : ExitCode::Failed;
}

} // namespace fennelline
