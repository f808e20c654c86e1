#pragma once

#include "LibBase/Error.h"
#include "LibCoordination/PlatformCall.h"

#include <optional>
#include <string>

namespace fennelline {

/// What an edited file was read as. It is kept next to the file, as "FILE.base".
struct WorkingCopyBase {
  Revision m_revision = 0;
  /// The document before it was edited; empty where it is not known.
  std::string m_text;
};

/// Writes a document to a file for editing, with its base next to it.
Result<void> WriteWorkingCopy(const std::string& aPath, const WorkingCopyBase& aBase);

/// Notes that the file's present text stands in the platform at a revision.
Result<void> WriteBase(const std::string& aPath, const WorkingCopyBase& aBase);

/// Reads the base next to a file; nothing where there is none.
Result<std::optional<WorkingCopyBase>> ReadBase(const std::string& aPath);

} // namespace fennelline
