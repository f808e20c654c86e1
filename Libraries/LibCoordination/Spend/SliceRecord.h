#pragma once

#include "LibBase/Error.h"
#include "LibCoordination/Identity.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fennelline {

/// What has been drawn from one customer's budget in one period, as stored in its platform key.
struct SliceRecord {
  struct Share {
    EntryId m_entry;
    std::int64_t m_micros = 0;
  };
  /// The amount drawn and not returned, over all entries.
  std::int64_t m_drawnMicros = 0;
  /// The same per entry. Shares of entries that have not written for long may be missing.
  std::vector<Share> m_shares;

  std::int64_t ShareOf(const EntryId& aEntry) const;
  /// Sets an entry's share and moves it to the end. Drops the first share if there are too many.
  void SetShare(const EntryId& aEntry, std::int64_t aMicros);
};

std::string WriteSlices(const SliceRecord& aRecord);
Result<SliceRecord> ParseSlices(const std::string& aText);

} // namespace fennelline
