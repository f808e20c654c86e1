#pragma once

#include "LibBase/Error.h"

#include <string>

namespace fennelline {

/// Writes {"port": N} to the file atomically: a reader sees the complete text or no file. Does
/// nothing for an empty path.
Result<void> WritePortsFile(const std::string& aPath, int aPort);

} // namespace fennelline
