#include "LibCoordination/Usage/LedgerCompactor.h"

#include "LibCoordination/Usage/UsageLedger.h"

#include <set>
#include <string_view>
#include <utility>

namespace fennelline {

LedgerCompactor::LedgerCompactor(Duration aCompactAfter, Duration aCallTimeout)
  : m_compactAfter(aCompactAfter)
  , m_callTimeout(aCallTimeout) {}

void LedgerCompactor::Start(Effects& aEffects, std::uint64_t& aCallNumber, Time aNow) {
  m_removals.clear();
  Send(Step::ReadTotals, GetKey{.m_key = kTotalsKey}, aEffects, aCallNumber, aNow);
}

void LedgerCompactor::Send(Step aStep, PlatformRequest aRequest, Effects& aEffects,
                           std::uint64_t& aCallNumber, Time aNow) {
  m_step = aStep;
  m_call = ++aCallNumber;
  m_sentAt = aNow;
  aEffects.push_back(CallPlatform{.m_call = {.m_component = Component::Usage, .m_number = m_call},
                                  .m_request = std::move(aRequest)});
}

void LedgerCompactor::Tick(Time aNow) {
  // Completed steps remain valid; the next round continues from there.
  if (m_step != Step::Idle && aNow - m_sentAt >= m_callTimeout) {
    m_step = Step::Idle;
  }
}

bool LedgerCompactor::OnReply(const PlatformReply& aReply,
                              const std::function<bool(const EntryId&)>& aIsGone, Effects& aEffects,
                              std::uint64_t& aCallNumber, Time aNow) {
  if (m_step == Step::Idle || aReply.m_call.m_number != m_call) {
    return false;
  }
  const Step step = std::exchange(m_step, Step::Idle);
  const bool isOk = aReply.m_status == PlatformStatus::Ok;
  if (step == Step::ReadTotals && TakeTotals(aReply)) {
    Send(Step::ReadLedgers, ListKeys{.m_prefix = kLedgerPrefix}, aEffects, aCallNumber, aNow);
  } else if (step == Step::ReadLedgers && isOk && aReply.m_revision >= m_revision) {
    if (Fold(aReply.m_keys, aIsGone, aNow)) {
      const PutKey put{
        .m_key = kTotalsKey, .m_value = WriteTotals(m_totals), .m_expected = m_revision};
      Send(Step::WriteTotals, put, aEffects, aCallNumber, aNow);
    } else {
      RemoveNext(aEffects, aCallNumber, aNow);
    }
  } else if ((step == Step::WriteTotals && isOk) || step == Step::Remove) {
    RemoveNext(aEffects, aCallNumber, aNow);
  }
  return true;
}

bool LedgerCompactor::TakeTotals(const PlatformReply& aReply) {
  if (aReply.m_status == PlatformStatus::NotFound) {
    m_totals = {};
    m_revision = kAbsent;
    return true;
  }
  if (aReply.m_status != PlatformStatus::Ok || aReply.m_keys.empty()) {
    return false;
  }
  Result<LedgerTotals> totals = ParseTotals(aReply.m_keys.front().m_value);
  if (!totals) {
    return false;
  }
  m_totals = totals.Take();
  m_revision = aReply.m_keys.front().m_revision;
  return true;
}

bool LedgerCompactor::Fold(const std::vector<KeyValue>& aLedgers,
                           const std::function<bool(const EntryId&)>& aIsGone, Time aNow) {
  bool isChanged = false;
  std::set<std::string> present;
  for (const KeyValue& keyValue : aLedgers) {
    present.insert(keyValue.m_key);
    const Result<Ledger> ledger = ParseLedger(keyValue.m_value);
    const EntryId origin = keyValue.m_key.substr(std::string_view(kLedgerPrefix).size());
    if (!ledger || aNow - ledger.Get().m_writtenAt < m_compactAfter || !aIsGone(origin)) {
      continue;
    }
    m_removals.push_back({.m_key = keyValue.m_key, .m_revision = keyValue.m_revision});
    LedgerTotals::Folded& folded = m_totals.m_folded[keyValue.m_key];
    if (folded.m_revision == keyValue.m_revision) {
      continue;
    }
    AddTotals(m_totals.m_customers, ledger.Get().m_customers);
    AddTotals(m_totals.m_customers, folded.m_customers, -1);
    folded = {.m_revision = keyValue.m_revision, .m_customers = ledger.Get().m_customers};
    isChanged = true;
  }
  const std::size_t removedRecords = std::erase_if(
    m_totals.m_folded, [&](const std::pair<const std::string, LedgerTotals::Folded>& aFolded) {
      return !present.contains(aFolded.first);
    });
  return isChanged || removedRecords > 0;
}

void LedgerCompactor::RemoveNext(Effects& aEffects, std::uint64_t& aCallNumber, Time aNow) {
  if (m_removals.empty()) {
    return;
  }
  const Removal removal = std::move(m_removals.back());
  m_removals.pop_back();
  Send(Step::Remove, RemoveKey{.m_key = removal.m_key, .m_expected = removal.m_revision}, aEffects,
       aCallNumber, aNow);
}

} // namespace fennelline
