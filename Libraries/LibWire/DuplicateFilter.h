#pragma once

#include "LibBase/Time.h"
#include "LibCoordination/Identity.h"

#include <bitset>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

namespace fennelline {

/// Detects messages of a sender that were received before, by their number. A number far below the
/// sender's highest counts as a duplicate: a message may be lost but is never delivered twice.
class DuplicateFilter {
public:
  /// Numbers less than this far below the highest one are tracked one by one; lower ones are
  /// rejected as duplicates. Must be at least the number of messages that a sender may have
  /// unacknowledged.
  static constexpr std::uint64_t kWindow = 16'384;

  /// Returns true the first time a number is received.
  bool Accept(const EntryId& aFrom, std::uint64_t aNumber, Time aNow);
  /// Removes senders that have sent nothing since the given time.
  void Forget(Time aBefore);

private:
  struct Sender {
    std::uint64_t m_highest = 0;
    std::bitset<kWindow> m_seen;
    Time m_lastUsed;
  };

  static void Advance(Sender& aSender, std::uint64_t aNumber);

  std::unordered_map<EntryId, std::unique_ptr<Sender>> m_senders;
};

} // namespace fennelline
