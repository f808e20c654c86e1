#pragma once

#include "LibBase/Error.h"

#include <cstddef>
#include <string>

namespace fennelline {

/// A content that crashes backend servers, as kept in the store for entries that start later.
struct CrashRecord {
  /// See CrashVerdict::m_refusals.
  std::size_t m_refusals = 0;
};

std::string WriteCrashRecord(const CrashRecord& aRecord);
Result<CrashRecord> ParseCrashRecord(const std::string& aText);

} // namespace fennelline
