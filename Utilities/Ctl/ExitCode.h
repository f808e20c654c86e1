#pragma once

#include "LibBase/Error.h"

namespace fennelline {

/// How the operators' programs end.
enum class ExitCode {
  Ok = 0,
  /// The command ran and its answer is no: a check failed, a wait ended.
  Failed = 1,
  /// The command line, a file or a document is wrong. Nothing was done.
  BadInput = 2,
  /// Another operator's change came first. Nothing was done.
  Conflict = 3,
  /// The platform or an entry could not be reached. Nothing was done.
  Unavailable = 4,
  /// A write may or may not have taken effect.
  Unresolved = 5,
};

/// The exit code for an error.
ExitCode ExitCodeOf(const Error& aError);

} // namespace fennelline
