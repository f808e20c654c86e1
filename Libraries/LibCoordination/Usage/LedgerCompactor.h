#pragma once

#include "LibBase/Time.h"
#include "LibCoordination/Effect.h"
#include "LibCoordination/Usage/Ledger.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace fennelline {

/// Adds the ledgers of entries that have been gone for long to the totals, and removes them.
///
/// The steps are: read the totals, read the ledgers, write the totals with a record of the amounts
/// added per ledger and its revision (LedgerTotals::Folded), remove each ledger at that revision.
/// Compaction may stop after any step, and another entry may repeat it: for a ledger with such a
/// record only the difference is added. The record is dropped once its ledger is gone. As the
/// ledgers are read after the totals, and the totals are written by compare-and-swap, a ledger
/// cannot be added again after its record was dropped.
class LedgerCompactor {
public:
  LedgerCompactor(Duration aCompactAfter, Duration aCallTimeout);

  bool IsIdle() const { return m_step == Step::Idle; }
  void Start(Effects& aEffects, std::uint64_t& aCallNumber, Time aNow);
  void Tick(Time aNow);

  /// Handles a reply. Returns true if it was for the compactor. aIsGone returns whether an entry is
  /// gone.
  bool OnReply(const PlatformReply& aReply, const std::function<bool(const EntryId&)>& aIsGone,
               Effects& aEffects, std::uint64_t& aCallNumber, Time aNow);

private:
  enum class Step : std::uint8_t { Idle, ReadTotals, ReadLedgers, WriteTotals, Remove };
  struct Removal {
    std::string m_key;
    Revision m_revision = 0;
  };

  void Send(Step aStep, PlatformRequest aRequest, Effects& aEffects, std::uint64_t& aCallNumber,
            Time aNow);
  bool TakeTotals(const PlatformReply& aReply);
  /// Adds ledgers to the totals. Returns whether the totals have changed.
  bool Fold(const std::vector<KeyValue>& aLedgers,
            const std::function<bool(const EntryId&)>& aIsGone, Time aNow);
  void RemoveNext(Effects& aEffects, std::uint64_t& aCallNumber, Time aNow);

  Duration m_compactAfter;
  Duration m_callTimeout;
  Step m_step = Step::Idle;
  std::uint64_t m_call = 0;
  Time m_sentAt{};
  LedgerTotals m_totals;
  Revision m_revision = kAbsent;
  std::vector<Removal> m_removals;
};

} // namespace fennelline
