#include "LibCoordination/Usage/LedgerWriter.h"

#include <algorithm>
#include <utility>

namespace fennelline {

namespace {

/// The delay before the next call after the platform could not be reached.
constexpr Duration kBackOff = Seconds(1);

} // namespace

LedgerWriter::LedgerWriter(EntryId aOrigin, Duration aCallTimeout)
  : m_origin(std::move(aOrigin))
  , m_callTimeout(aCallTimeout) {}

void LedgerWriter::Advance(const PendingRecords& aPending, bool aMayCreate, Effects& aEffects,
                           std::uint64_t& aCallNumber, Time aNow) {
  if (m_call && aNow - m_call->m_sentAt >= m_callTimeout) {
    m_call.reset();
    m_isKnown = false;
  }
  if (m_call || m_isClosed || aNow < m_backOffUntil) {
    return;
  }
  if (!m_isKnown) {
    // Unlike a get, a list returns the store's revision even if the key does not exist.
    Send(ListKeys{.m_prefix = LedgerKey(m_origin)}, std::nullopt, aEffects, aCallNumber, aNow);
    return;
  }
  if (m_revision == kAbsent && !aMayCreate) {
    m_isClosed = true;
    return;
  }
  Ledger next = m_ledger;
  for (const std::pair<const std::uint64_t, UsageRecord>& record : aPending) {
    next.Settle(record.second);
  }
  next.m_writtenAt = aNow;
  const PutKey put{
    .m_key = LedgerKey(m_origin), .m_value = WriteLedger(next), .m_expected = m_revision};
  Send(put, std::move(next), aEffects, aCallNumber, aNow);
}

void LedgerWriter::Send(PlatformRequest aRequest, std::optional<Ledger> aWritten, Effects& aEffects,
                        std::uint64_t& aCallNumber, Time aNow) {
  m_call = {.m_number = ++aCallNumber, .m_sentAt = aNow, .m_written = std::move(aWritten)};
  aEffects.push_back(
    CallPlatform{.m_call = {.m_component = Component::Usage, .m_number = m_call->m_number},
                 .m_request = std::move(aRequest)});
}

bool LedgerWriter::OnReply(const PlatformReply& aReply, PendingRecords& aPending, Time aNow) {
  if (!m_call || m_call->m_number != aReply.m_call.m_number) {
    return false;
  }
  std::optional<Ledger> written = std::move(m_call->m_written);
  m_call.reset();
  if (aReply.m_status == PlatformStatus::Unavailable) {
    m_backOffUntil = aNow + kBackOff;
  } else if (written) {
    OnWritten(aReply, std::move(*written));
  } else {
    OnRead(aReply);
  }
  DropSettled(aPending);
  return true;
}

void LedgerWriter::OnRead(const PlatformReply& aReply) {
  // A reply older than a known write comes from a store replica that lags behind.
  if (aReply.m_status != PlatformStatus::Ok || aReply.m_revision < m_revision) {
    return;
  }
  const auto found =
    std::find_if(aReply.m_keys.begin(), aReply.m_keys.end(),
                 [&](const KeyValue& aKeyValue) { return aKeyValue.m_key == LedgerKey(m_origin); });
  if (found == aReply.m_keys.end()) {
    // A ledger that existed before and is gone was compacted; its records are in the totals.
    m_isClosed = m_revision != kAbsent;
    m_isKnown = !m_isClosed;
    return;
  }
  Result<Ledger> ledger = ParseLedger(found->m_value);
  if (!ledger) {
    return;
  }
  m_ledger = ledger.Take();
  m_revision = found->m_revision;
  m_isKnown = true;
}

void LedgerWriter::OnWritten(const PlatformReply& aReply, Ledger aWritten) {
  // The reply may not contain the write's own revision, so the next settlement reads first.
  m_isKnown = false;
  if (aReply.m_status == PlatformStatus::Ok) {
    m_ledger = std::move(aWritten);
    // A lower bound.
    ++m_revision;
  }
}

void LedgerWriter::DropSettled(PendingRecords& aPending) const {
  std::erase_if(aPending, [&](const std::pair<const std::uint64_t, UsageRecord>& aRecord) {
    return m_ledger.m_settled.Contains(aRecord.first);
  });
}

} // namespace fennelline
