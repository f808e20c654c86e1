#pragma once

#include "LibBase/Error.h"
#include "LibCoordination/PlatformCall.h"

#include <optional>
#include <string>

namespace fennelline {

/// The revision and text that a working copy is based on, stored next to it as "FILE.base".
struct WorkingCopyBase {
  Revision m_revision = 0;
  /// The document before editing; empty if unknown.
  std::string m_text;
};

/// Writes a document to a file for editing, and its base next to it.
Result<void> WriteWorkingCopy(const std::string& aPath, const WorkingCopyBase& aBase);

/// Writes the base file of a working copy whose text the platform stores at the base revision.
Result<void> WriteBase(const std::string& aPath, const WorkingCopyBase& aBase);

/// Reads the base file of a working copy; nullopt if there is none.
Result<std::optional<WorkingCopyBase>> ReadBase(const std::string& aPath);

} // namespace fennelline
