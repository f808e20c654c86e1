#include "LibCoordination/Spend/SliceAccount.h"

#include <algorithm>
#include <utility>

namespace fennelline {

namespace {

/// The delay before the next call after the platform could not be reached.
constexpr Duration kBackOff = Seconds(1);

} // namespace

SliceAccount::SliceAccount(std::string aKey, EntryId aSelf, Duration aCallTimeout)
  : m_key(std::move(aKey))
  , m_self(std::move(aSelf))
  , m_callTimeout(aCallTimeout) {}

std::optional<std::int64_t> SliceAccount::LeftToDraw(std::int64_t aLimit) const {
  if (!m_wasRead) {
    return std::nullopt;
  }
  return std::max<std::int64_t>(aLimit - m_record.m_drawnMicros, 0);
}

bool SliceAccount::Advance(std::int64_t aTarget, std::int64_t aLimit, Effects& aEffects,
                           std::uint64_t& aCallNumber, Time aNow) {
  if (m_call && aNow - m_call->m_sentAt >= m_callTimeout) {
    const Call lost = std::move(*std::exchange(m_call, std::nullopt));
    if (lost.m_isWrite) {
      MarkWriteUncertain(lost);
    }
  }
  if (m_call || aNow < m_backOffUntil) {
    return false;
  }
  if (!m_isKnown) {
    Send(GetKey{.m_key = m_key}, {.m_sentAt = aNow}, aEffects, aCallNumber);
    return false;
  }
  const std::int64_t share = m_record.ShareOf(m_self);
  const std::int64_t maxShare = share + std::max<std::int64_t>(aLimit - m_record.m_drawnMicros, 0);
  const std::int64_t next = std::max(std::min(aTarget, maxShare), std::min(share, m_used));
  // If the result of a write is uncertain, a further write ensures that it can no longer be
  // applied.
  if (next == share && !m_uncertainWrite) {
    return true;
  }
  Call call{.m_sentAt = aNow, .m_isWrite = true, .m_written = m_record};
  call.m_written.SetShare(m_self, next);
  m_credit = std::min(m_credit, next);
  const PutKey put{
    .m_key = m_key, .m_value = WriteSlices(call.m_written), .m_expected = m_revision};
  Send(put, std::move(call), aEffects, aCallNumber);
  return false;
}

void SliceAccount::Send(PlatformRequest aRequest, Call aCall, Effects& aEffects,
                        std::uint64_t& aCallNumber) {
  aCall.m_number = ++aCallNumber;
  aEffects.push_back(
    CallPlatform{.m_call = {.m_component = Component::Spend, .m_number = aCall.m_number},
                 .m_request = std::move(aRequest)});
  m_call = std::move(aCall);
}

void SliceAccount::MarkWriteUncertain(const Call& aCall) {
  m_uncertainWrite = m_revision;
  m_credit = std::min(m_credit, aCall.m_written.ShareOf(m_self));
  m_isKnown = false;
}

bool SliceAccount::OnReply(const PlatformReply& aReply, Time aNow) {
  if (!m_call || m_call->m_number != aReply.m_call.m_number) {
    return false;
  }
  const Call call = std::move(*std::exchange(m_call, std::nullopt));
  if (call.m_isWrite) {
    OnWritten(aReply, call, aNow);
  } else if (aReply.m_status == PlatformStatus::Unavailable) {
    m_backOffUntil = aNow + kBackOff;
  } else {
    OnRead(aReply);
  }
  return true;
}

void SliceAccount::OnWritten(const PlatformReply& aReply, const Call& aCall, Time aNow) {
  switch (aReply.m_status) {
    case PlatformStatus::Ok:
      // The reply may not contain the write's own revision; the next one is a lower bound.
      m_uncertainWrite.reset();
      m_isCreator = m_isCreator || m_revision == kAbsent;
      m_record = aCall.m_written;
      m_credit = m_record.ShareOf(m_self);
      ++m_revision;
      m_isKnown = false;
      return;
    case PlatformStatus::Conflict:
    case PlatformStatus::NotFound:
      m_isKnown = false;
      return;
    case PlatformStatus::Unavailable:
    case PlatformStatus::HistoryGone:
      m_isKnown = false;
      m_backOffUntil = aNow + kBackOff;
      return;
    case PlatformStatus::Unknown:
      MarkWriteUncertain(aCall);
      return;
  }
}

void SliceAccount::OnRead(const PlatformReply& aReply) {
  // A reply older than a known write comes from a store replica that lags behind.
  if (aReply.m_revision < m_revision) {
    return;
  }
  if (aReply.m_status == PlatformStatus::NotFound && m_revision == kAbsent) {
    TakeRecord({}, kAbsent);
  } else if (aReply.m_status == PlatformStatus::Ok && !aReply.m_keys.empty()) {
    Result<SliceRecord> record = ParseSlices(aReply.m_keys.front().m_value);
    if (record && aReply.m_keys.front().m_revision >= m_revision) {
      TakeRecord(record.Take(), aReply.m_keys.front().m_revision);
    }
  }
}

void SliceAccount::TakeRecord(SliceRecord aRecord, Revision aRevision) {
  m_record = std::move(aRecord);
  m_revision = aRevision;
  m_isKnown = true;
  m_wasRead = true;
  const std::int64_t share = m_record.ShareOf(m_self);
  if (m_uncertainWrite && m_revision > *m_uncertainWrite) {
    m_uncertainWrite.reset();
  }
  m_credit = m_uncertainWrite ? std::min(m_credit, share) : share;
}

} // namespace fennelline
