#pragma once

#include "LibBase/Time.h"
#include "LibCoordination/Identity.h"

#include <bitset>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

namespace fennelline {

/// Tells which numbered messages of each sender have come before. A number far below the sender's
/// highest one counts as seen: a message may be lost but is never handed over twice.
class DuplicateFilter {
public:
  /// The numbers below the highest that are told apart. At least as many as a sender may have
  /// unacknowledged.
  static constexpr std::uint64_t kWindow = 16'384;

  /// True the first time a number comes.
  bool Accept(const EntryId& aFrom, std::uint64_t aNumber, Time aNow);
  /// Forgets senders that sent nothing since the instant.
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
