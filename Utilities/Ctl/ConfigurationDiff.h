#pragma once

#include "LibBase/Error.h"

#include <string>
#include <vector>

namespace fennelline {

enum class ChangeKind { Added, Removed, Changed };

/// One difference between two configuration documents.
struct ConfigurationChange {
  ChangeKind m_kind = ChangeKind::Changed;
  /// For example "contracts[mopane].kinds[tag].deadline_ms"; list items are identified by name.
  std::string m_path;
  /// JSON text; empty for an addition.
  std::string m_before;
  /// JSON text; empty for a removal.
  std::string m_after;
};

/// Returns the differences between two documents, ordered by path. An omitted field equals one that
/// is set to its default.
Result<std::vector<ConfigurationChange>> DiffConfigurations(const std::string& aBefore,
                                                            const std::string& aAfter);

/// Formats one line per change: "+ PATH: NEW", "- PATH: OLD" or "~ PATH: OLD -> NEW".
std::string RenderChanges(const std::vector<ConfigurationChange>& aChanges);

} // namespace fennelline
