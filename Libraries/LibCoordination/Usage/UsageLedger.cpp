#include "LibCoordination/Usage/UsageLedger.h"

#include "LibBase/Random.h"
#include "LibCoordination/Usage/CopyStore.h"
#include "LibCoordination/Usage/LedgerCompactor.h"
#include "LibCoordination/Usage/LedgerWriter.h"
#include "LibCoordination/Usage/UsagePeers.h"

#include <algorithm>
#include <set>
#include <utility>
#include <variant>

namespace fennelline {

struct UsageLedger::Impl {
  Impl(UsageSettings aSettings, EntryId aSelf, DataCentre aDataCentre, std::uint64_t aSeed)
    : m_settings(aSettings)
    , m_self(std::move(aSelf))
    , m_random(aSeed)
    , m_peers(m_self, std::move(aDataCentre))
    , m_copies(m_settings, m_peers)
    , m_writer(m_self, m_settings.m_callTimeout)
    , m_compactor(m_settings.m_compactAfter, m_settings.m_callTimeout) {}

  /// A record that no second entry and not the platform is known to hold yet.
  struct Waiting {
    RequestIdentity m_identity;
    AttemptId m_attempt;
    Time m_recordedAt;
    Time m_sentAt;
    std::size_t m_try = 0;
  };

  void SendCopy(std::uint64_t aSequence, Waiting& aWaiting, Effects& aEffects, Time aNow);
  void OnCopyAck(const UsageCopyAck& aAck, UsageStep& aStep);
  void Report(std::uint64_t aSequence, UsageResult aResult, UsageStep& aStep);
  void TickWaiting(UsageStep& aStep, Time aNow);
  void TickSettling(Effects& aEffects, Time aNow);
  bool IsHeartbeatDue(Time aNow) const;
  void OnOwnReply(UsageStep& aStep, Time aNow);
  void NotifyPeers(Effects& aEffects);
  void TickCompaction(Effects& aEffects, Time aNow);
  Duration SettleInterval();

  const UsageSettings m_settings;
  const EntryId m_self;
  Random m_random;
  UsagePeers m_peers;
  CopyStore m_copies;
  LedgerWriter m_writer;
  LedgerCompactor m_compactor;
  std::uint64_t m_callNumber = 0;
  std::uint64_t m_sequence = 0;
  PendingRecords m_own;
  std::map<std::uint64_t, Waiting> m_waiting;
  /// Peers that may hold copies and were not told yet that they are settled.
  std::set<EntryId> m_copyPeers;
  Time m_startedAt = kNever;
  Time m_nextSettle{};
  Time m_nextCompaction = kNever;
  bool m_isSettling = false;
};

void UsageLedger::Impl::SendCopy(std::uint64_t aSequence, Waiting& aWaiting, Effects& aEffects,
                                 Time aNow) {
  aWaiting.m_sentAt = aNow;
  const std::size_t count = std::max<std::size_t>(m_peers.CountAlive(), 1);
  const EntryId peer = m_peers.PeerAt(aWaiting.m_try++ % count);
  if (peer.empty()) {
    return;
  }
  m_copyPeers.insert(peer);
  aEffects.push_back(
    SendMessage{.m_to = peer, .m_message = UsageCopy{.m_records = {m_own.at(aSequence)}}});
}

/// Reports the outcome of a record. Does nothing if it was reported before.
void UsageLedger::Impl::Report(std::uint64_t aSequence, UsageResult aResult, UsageStep& aStep) {
  const auto waiting = m_waiting.find(aSequence);
  if (waiting == m_waiting.end()) {
    return;
  }
  aStep.m_outcomes.push_back({.m_sequence = aSequence,
                              .m_identity = waiting->second.m_identity,
                              .m_attempt = waiting->second.m_attempt,
                              .m_result = aResult});
  m_waiting.erase(waiting);
}

void UsageLedger::Impl::OnCopyAck(const UsageCopyAck& aAck, UsageStep& aStep) {
  for (const std::uint64_t sequence : aAck.m_sequences) {
    if (aAck.m_origin == m_self) {
      Report(sequence, UsageResult::Durable, aStep);
    }
  }
}

void UsageLedger::Impl::TickWaiting(UsageStep& aStep, Time aNow) {
  std::vector<std::uint64_t> timedOut;
  for (std::pair<const std::uint64_t, Waiting>& waiting : m_waiting) {
    const Duration age = aNow - waiting.second.m_recordedAt;
    if (age >= m_settings.m_giveUpAfter) {
      timedOut.push_back(waiting.first);
      continue;
    }
    m_isSettling = m_isSettling || age >= m_settings.m_directAfter;
    if (aNow - waiting.second.m_sentAt >= m_settings.m_copyTimeout) {
      SendCopy(waiting.first, waiting.second, aStep.m_effects, aNow);
    }
  }
  for (const std::uint64_t sequence : timedOut) {
    Report(sequence, UsageResult::LocalOnly, aStep);
  }
}

/// Whether the ledger must be written even if this entry is idle, so that compaction does not treat
/// it as abandoned.
bool UsageLedger::Impl::IsHeartbeatDue(Time aNow) const {
  return aNow - m_writer.LastWrittenAt() >= m_settings.m_compactAfter / 4;
}

void UsageLedger::Impl::TickSettling(Effects& aEffects, Time aNow) {
  const bool isDue = aNow >= m_nextSettle && !m_own.empty();
  m_isSettling = m_isSettling || isDue || IsHeartbeatDue(aNow);
  if (m_isSettling) {
    const bool mayCreate =
      !m_writer.HasLedger() && aNow - m_startedAt < m_settings.m_compactAfter / 2;
    m_writer.Advance(m_own, mayCreate, aEffects, m_callNumber, aNow);
  }
}

Duration UsageLedger::Impl::SettleInterval() {
  const double entries = static_cast<double>(m_peers.CountAlive() + 1);
  const Duration shared(
    static_cast<std::int64_t>(entries / m_settings.m_maxSettlementsPerSecond * 1e6));
  const Duration interval = std::max(m_settings.m_settleInterval, shared);
  // Random jitter, from 0.9 to 1.1 times the interval, so that entries that started together do not
  // write together.
  return interval * 9 / 10 +
         Duration(m_random.Below(static_cast<std::uint64_t>(interval.count()) / 5 + 1));
}

/// Handles a reply for this entry's ledger. Waiting records that are no longer pending are held by
/// the platform.
void UsageLedger::Impl::OnOwnReply(UsageStep& aStep, Time aNow) {
  std::vector<std::uint64_t> held;
  for (const std::pair<const std::uint64_t, Waiting>& waiting : m_waiting) {
    if (!m_own.contains(waiting.first)) {
      held.push_back(waiting.first);
    }
  }
  for (const std::uint64_t sequence : held) {
    Report(sequence, UsageResult::Durable, aStep);
  }
  if (m_own.empty() && !IsHeartbeatDue(aNow)) {
    m_isSettling = false;
    m_nextSettle = aNow + SettleInterval();
  }
  NotifyPeers(aStep.m_effects);
}

void UsageLedger::Impl::NotifyPeers(Effects& aEffects) {
  const std::uint64_t upTo = m_writer.Settled().ContiguousUpTo();
  if (upTo == 0) {
    return;
  }
  for (const EntryId& peer : m_copyPeers) {
    aEffects.push_back(
      SendMessage{.m_to = peer, .m_message = UsageSettled{.m_origin = m_self, .m_upTo = upTo}});
  }
  if (m_own.empty()) {
    m_copyPeers.clear();
  }
}

void UsageLedger::Impl::TickCompaction(Effects& aEffects, Time aNow) {
  m_compactor.Tick(aNow);
  if (aNow < m_nextCompaction || !m_compactor.IsIdle()) {
    return;
  }
  m_nextCompaction = aNow + m_settings.m_compactInterval;
  if (m_peers.IsFirst()) {
    m_compactor.Start(aEffects, m_callNumber, aNow);
  }
}

UsageLedger::UsageLedger(UsageSettings aSettings, EntryId aSelf, DataCentre aDataCentre,
                         std::uint64_t aSeed)
  : m_impl(std::make_unique<Impl>(aSettings, std::move(aSelf), std::move(aDataCentre), aSeed)) {}
UsageLedger::~UsageLedger() = default;
UsageLedger::UsageLedger(UsageLedger&&) noexcept = default;
UsageLedger& UsageLedger::operator=(UsageLedger&&) noexcept = default;

UsageLedger::UsageStep UsageLedger::Record(UsageRecord aRecord, Time aNow) {
  UsageStep step;
  const std::uint64_t sequence = ++m_impl->m_sequence;
  aRecord.m_origin = m_impl->m_self;
  aRecord.m_sequence = sequence;
  Impl::Waiting& waiting = m_impl->m_waiting[sequence];
  waiting.m_identity = aRecord.m_identity;
  waiting.m_attempt = aRecord.m_attempt;
  waiting.m_recordedAt = aNow;
  m_impl->m_own.emplace(sequence, std::move(aRecord));
  m_impl->SendCopy(sequence, waiting, step.m_effects, aNow);
  return step;
}

UsageLedger::UsageStep UsageLedger::OnMessage(const EntryId& aFrom, const Message& aMessage,
                                              Time aNow) {
  UsageStep step;
  if (const UsageCopy* copy = std::get_if<UsageCopy>(&aMessage)) {
    m_impl->m_copies.Take(aFrom, *copy, step.m_effects, aNow);
  } else if (const UsageCopyAck* ack = std::get_if<UsageCopyAck>(&aMessage)) {
    m_impl->OnCopyAck(*ack, step);
  } else if (const UsageSettled* settled = std::get_if<UsageSettled>(&aMessage)) {
    m_impl->m_copies.OnSettled(*settled);
  }
  return step;
}

UsageLedger::UsageStep UsageLedger::OnPlatformReply(const PlatformReply& aReply, Time aNow) {
  UsageStep step;
  if (aReply.m_call.m_component != Component::Usage) {
    return step;
  }
  if (m_impl->m_writer.OnReply(aReply, m_impl->m_own, aNow)) {
    m_impl->OnOwnReply(step, aNow);
    return step;
  }
  const auto isGone = [&](const EntryId& aEntry) {
    return m_impl->m_peers.GoneFor(aEntry, aNow) > Duration(0);
  };
  if (!m_impl->m_copies.OnReply(aReply, aNow)) {
    m_impl->m_compactor.OnReply(aReply, isGone, step.m_effects, m_impl->m_callNumber, aNow);
  }
  return step;
}

UsageLedger::UsageStep UsageLedger::OnMembers(std::span<const MemberDigest> aMembers, Time) {
  m_impl->m_peers.Update(aMembers);
  return {};
}

UsageLedger::UsageStep UsageLedger::Tick(Time aNow) {
  UsageStep step;
  if (m_impl->m_startedAt == kNever) {
    m_impl->m_startedAt = aNow;
    m_impl->m_nextCompaction = aNow + Duration(m_impl->m_random.Below(static_cast<std::uint64_t>(
                                        m_impl->m_settings.m_compactInterval.count())));
  }
  m_impl->TickWaiting(step, aNow);
  m_impl->TickSettling(step.m_effects, aNow);
  m_impl->m_copies.Tick(step.m_effects, m_impl->m_callNumber, aNow);
  m_impl->TickCompaction(step.m_effects, aNow);
  return step;
}

UsageLedger::UsageStep UsageLedger::Flush(Time aNow) {
  UsageStep step;
  m_impl->m_isSettling = m_impl->m_isSettling || !m_impl->m_own.empty();
  m_impl->TickSettling(step.m_effects, aNow);
  return step;
}

bool UsageLedger::IsFull() const {
  return m_impl->m_own.size() >= m_impl->m_settings.m_maxRecords;
}

bool UsageLedger::IsClosed() const {
  return m_impl->m_writer.IsClosed();
}

std::size_t UsageLedger::CountUnsettled() const {
  return m_impl->m_own.size();
}

std::size_t UsageLedger::CountCopiesHeld() const {
  return m_impl->m_copies.Size();
}

} // namespace fennelline
