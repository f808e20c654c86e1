#pragma once

#include "LibBase/Time.h"
#include "LibCoordination/Effect.h"
#include "LibCoordination/Spend/SliceRecord.h"

#include <cstdint>
#include <optional>
#include <string>

namespace fennelline {

/// This entry's share of one customer's budget in one period.
///
/// The credit here is never more than the share that the platform has for this entry, whatever
/// becomes of calls in flight: a draw counts once it is known to be written, a return counts before
/// it is sent. After a lost reply the lower of both values holds until the key has moved past the
/// revision that the lost write expected, since until then that write may still arrive.
class SliceAccount {
public:
  SliceAccount(std::string aKey, EntryId aSelf, Duration aCallTimeout);

  std::int64_t Available() const { return m_credit - m_used; }
  std::int64_t Used() const { return m_used; }
  std::int64_t Credit() const { return m_credit; }
  /// What all entries may still draw, as of the last reading; none before the first.
  std::optional<std::int64_t> LeftToDraw(std::int64_t aLimit) const;

  /// Takes from the credit. The caller has compared with Available().
  void Use(std::int64_t aMicros) { m_used += aMicros; }
  void GiveBack(std::int64_t aMicros) { m_used -= aMicros; }

  /// Goes on towards holding aTarget, as far as the limit and what is in use allow: makes at most
  /// one call, and none while one is open. Returns true once nothing is left to do.
  bool Advance(std::int64_t aTarget, std::int64_t aLimit, Effects& aEffects,
               std::uint64_t& aCallNumber, Time aNow);
  /// Reads the key again before the next write.
  void Refresh() { m_isKnown = false; }
  bool OnReply(const PlatformReply& aReply, Time aNow);
  bool IsBusy() const { return m_call.has_value(); }
  /// This entry was the first to write the key.
  bool IsMaker() const { return m_isMaker; }

private:
  struct Call {
    std::uint64_t m_number = 0;
    Time m_sentAt;
    bool m_isWrite = false;
    SliceRecord m_written;
  };

  void Send(PlatformRequest aRequest, Call aCall, Effects& aEffects, std::uint64_t& aCallNumber);
  void DoubtWrite(const Call& aCall);
  void OnWritten(const PlatformReply& aReply, const Call& aCall, Time aNow);
  void OnRead(const PlatformReply& aReply);
  void TakeRecord(SliceRecord aRecord, Revision aRevision);

  std::string m_key;
  EntryId m_self;
  Duration m_callTimeout;
  std::int64_t m_credit = 0;
  std::int64_t m_used = 0;
  bool m_isKnown = false;
  bool m_wasRead = false;
  bool m_isMaker = false;
  SliceRecord m_record;
  /// The key's revision, or the least that it can be while m_isKnown is false.
  Revision m_revision = kAbsent;
  /// The revision that a write with a lost reply expected.
  std::optional<Revision> m_doubt;
  std::optional<Call> m_call;
  Time m_backOffUntil{};
};

} // namespace fennelline
