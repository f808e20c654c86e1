#pragma once

#include "LibBase/Time.h"
#include "LibCoordination/Effect.h"
#include "LibCoordination/Usage/LedgerWriter.h"
#include "LibCoordination/Usage/UsageLedger.h"
#include "LibCoordination/Usage/UsagePeers.h"

#include <cstdint>
#include <map>

namespace fennelline {

/// Copies of other entries' usage records. They are dropped when the origin reports them as
/// settled; if the origin is gone, this entry settles them.
class CopyStore {
public:
  CopyStore(const UsageSettings& aSettings, UsagePeers& aPeers);

  /// Stores copies and acknowledges those that were stored.
  void Take(const EntryId& aFrom, const UsageCopy& aCopy, Effects& aEffects, Time aNow);
  void OnSettled(const UsageSettled& aSettled);
  bool OnReply(const PlatformReply& aReply, Time aNow);
  void Tick(Effects& aEffects, std::uint64_t& aCallNumber, Time aNow);

  std::size_t Size() const { return m_size; }

private:
  struct Origin {
    PendingRecords m_records;
    LedgerWriter m_writer;
    Time m_oldestAt;
  };

  void UpdateSize();

  const UsageSettings& m_settings;
  UsagePeers& m_peers;
  std::map<EntryId, Origin> m_origins;
  std::size_t m_size = 0;
};

} // namespace fennelline
