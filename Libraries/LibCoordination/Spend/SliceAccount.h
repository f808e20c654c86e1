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
/// The local credit never exceeds the share that the platform has recorded for this entry, whatever
/// happens to calls in flight: a draw takes effect once it is known to be written, a return before
/// it is sent. After a lost reply, the lower of the two values applies until the key's revision is
/// higher than the one that the lost write expected, because until then that write may still be
/// applied.
class SliceAccount {
public:
  SliceAccount(std::string aKey, EntryId aSelf, Duration aCallTimeout);

  std::int64_t Available() const { return m_credit - m_used; }
  std::int64_t Used() const { return m_used; }
  std::int64_t Credit() const { return m_credit; }
  /// What all entries together may still draw, as of the last read; none before the first read.
  std::optional<std::int64_t> LeftToDraw(std::int64_t aLimit) const;

  /// Uses part of the credit. The caller has checked Available().
  void Use(std::int64_t aMicros) { m_used += aMicros; }
  void ReturnUnused(std::int64_t aMicros) { m_used -= aMicros; }

  /// Continues to adjust this entry's share towards aTarget, as far as the limit and the used
  /// amount allow: makes at most one call, and none while one is open. Returns true once nothing is
  /// left to do.
  bool Advance(std::int64_t aTarget, std::int64_t aLimit, Effects& aEffects,
               std::uint64_t& aCallNumber, Time aNow);
  /// Makes the next Advance() read the key before any write.
  void Refresh() { m_isKnown = false; }
  bool OnReply(const PlatformReply& aReply, Time aNow);
  bool IsBusy() const { return m_call.has_value(); }
  /// Whether this entry created the key.
  bool IsCreator() const { return m_isCreator; }

private:
  struct Call {
    std::uint64_t m_number = 0;
    Time m_sentAt;
    bool m_isWrite = false;
    SliceRecord m_written;
  };

  void Send(PlatformRequest aRequest, Call aCall, Effects& aEffects, std::uint64_t& aCallNumber);
  void MarkWriteUncertain(const Call& aCall);
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
  bool m_isCreator = false;
  SliceRecord m_record;
  /// The key's revision, or a lower bound of it while m_isKnown is false.
  Revision m_revision = kAbsent;
  /// The revision expected by a write whose reply was lost, so that it may still be applied.
  std::optional<Revision> m_uncertainWrite;
  std::optional<Call> m_call;
  Time m_backOffUntil{};
};

} // namespace fennelline
