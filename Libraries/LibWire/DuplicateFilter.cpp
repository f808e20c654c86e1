#include "LibWire/DuplicateFilter.h"

namespace fennelline {

bool DuplicateFilter::Accept(const EntryId& aFrom, std::uint64_t aNumber, Time aNow) {
  std::unique_ptr<Sender>& sender = m_senders[aFrom];
  if (!sender) {
    sender = std::make_unique<Sender>();
  }
  sender->m_lastUsed = aNow;
  if (aNumber > sender->m_highest) {
    Advance(*sender, aNumber);
    return true;
  }
  if (sender->m_highest - aNumber >= kWindow || sender->m_seen.test(aNumber % kWindow)) {
    return false;
  }
  sender->m_seen.set(aNumber % kWindow);
  return true;
}

void DuplicateFilter::Advance(Sender& aSender, std::uint64_t aNumber) {
  if (aNumber - aSender.m_highest >= kWindow) {
    aSender.m_seen.reset();
  } else {
    for (std::uint64_t skipped = aSender.m_highest + 1; skipped < aNumber; ++skipped) {
      aSender.m_seen.reset(skipped % kWindow);
    }
  }
  aSender.m_highest = aNumber;
  aSender.m_seen.set(aNumber % kWindow);
}

void DuplicateFilter::Forget(Time aBefore) {
  std::erase_if(m_senders,
                [aBefore](const auto& aSender) { return aSender.second->m_lastUsed < aBefore; });
}

} // namespace fennelline
