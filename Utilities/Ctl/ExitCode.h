#pragma once

#include "LibBase/Error.h"

namespace fennelline {

/// Exit codes of the operator tools.
enum class ExitCode {
  Ok = 0,
  /// The command ran but its result is negative: a check failed or a wait timed out.
  Failed = 1,
  /// The command line, a file or a document is invalid. Nothing was changed.
  BadInput = 2,
  /// Another operator's change was written first. Nothing was changed.
  Conflict = 3,
  /// The platform or an entry could not be reached. Nothing was changed.
  Unavailable = 4,
  /// A write may or may not have taken effect.
  Unresolved = 5,
};

/// Maps an error to its exit code.
ExitCode ExitCodeOf(const Error& aError);

} // namespace fennelline
