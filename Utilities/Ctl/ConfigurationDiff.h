#pragma once

#include "LibBase/Error.h"

#include <string>
#include <vector>

namespace fennelline {

enum class ChangeKind { Added, Removed, Changed };

/// One difference between two configuration documents.
struct ConfigurationChange {
  ChangeKind m_kind = ChangeKind::Changed;
  /// Such as "contracts[mopane].kinds[tag].deadline_ms": members of lists go by their name.
  std::string m_path;
  /// JSON text; empty for what was added.
  std::string m_before;
  /// JSON text; empty for what was removed.
  std::string m_after;
};

/// The differences between two documents, in the order of their paths. Fields that only one of them
/// leaves to its default are no difference.
Result<std::vector<ConfigurationChange>> DiffConfigurations(const std::string& aBefore,
                                                            const std::string& aAfter);

/// One line for each change: "+ PATH: NEW", "- PATH: OLD" or "~ PATH: OLD -> NEW".
std::string RenderChanges(const std::vector<ConfigurationChange>& aChanges);

} // namespace fennelline
