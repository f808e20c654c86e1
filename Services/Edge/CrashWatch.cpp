#include "Services/Edge/CrashWatch.h"

#include "LibRouting/CrashRecord.h"
#include "LibWire/MessageCodec.h"
#include "Services/Edge/HealthChecks.h"
#include "Services/Edge/ServerPaths.h"
#include "platform/StoreCodec.h"

#include <algorithm>
#include <iterator>
#include <spdlog/fmt/fmt.h>
#include <utility>

namespace fennelline {

namespace {

constexpr Duration kTickInterval = Milliseconds(100);
constexpr Duration kDay = std::chrono::hours(24);

/// A crashed server is back within seconds. If it keeps its id, its new entry in the store is the
/// last sign of the crash.
constexpr Duration kSuspicionWindow = Seconds(10);

/// Servers that refuse connections within this time may do so for a common cause: that this entry
/// has lost its path to all of them. They have crashed if one of a few others accepts a connection.
constexpr Duration kCommonCauseTime = Milliseconds(300);
constexpr std::size_t kPathChecks = 3;
/// A common cause does not show at all of them at the same moment.
constexpr Duration kCommonCauseDelay = Milliseconds(20);

/// A request that was taken back is a suspect for the time that its server may need to begin the
/// answer and to crash.
constexpr Duration kCancelledWindow = Milliseconds(300);

/// A request whose server may have crashed waits this long for the result of the check. A refused
/// connection shows within a round trip.
constexpr Duration kMaxCheckWait = Milliseconds(100);

/// Causes that were refused fewer times may well be harmless.
constexpr std::size_t kMinKeptRefusals = 2;
constexpr int kMaxRecordsPerSecond = 10;
/// The longest lease that the store grants. Records of crashes end with it.
constexpr Duration kRecordLease = Seconds(600);
/// Number of entries that write a record which the store has lost, in case that one fails.
constexpr std::size_t kRecordKeepers = 2;

/// Longer than an announcement takes to reach 460 entries, some of whose datagrams are lost.
constexpr Duration kTrialStep = Milliseconds(500);

CrashHistorySettings HistorySettings(const EntryId& aSelf) {
  CrashHistorySettings settings;
  settings.m_self = aSelf;
  settings.m_trialStep = kTrialStep;
  settings.m_overlapRefusalTime = Duration(0);
  // A content that only ran beside crashes is soon served again. One that crashes a server in each
  // trial is sent two more times in a day.
  settings.m_refusalTimes = {Seconds(5), Seconds(60), kDay};
  settings.m_completionMemory = Seconds(30);
  // A request has a content and two fingerprints of each shared part of its prompt.
  settings.m_maxCompletions = 8192;
  settings.m_maxRequests = 4000;
  settings.m_antiEntropyInterval = Milliseconds(500);
  // A request takes up to 140 bytes in a message, which should fit one packet.
  settings.m_maxRequestsPerMessage = 8;
  // A request takes some 100 bytes to each of eight entries. FIXME: with a lower bound, which the
  // 11 KB/s for control ask for, sound parts are refused for longer after many crashes at once.
  settings.m_maxRelayedAtOnce = 160.0;
  settings.m_maxRelayedPerSecond = 60.0;
  settings.m_reportLifetime = Seconds(1);
  return settings;
}

} // namespace

CrashWatch::CrashWatch(EdgeContext& aContext, Members& aMembers, StoreClient& aStore,
                       SendToPeer aSend)
  : m_context(aContext)
  , m_members(aMembers)
  , m_store(aStore)
  , m_send(std::move(aSend))
  , m_history(HistorySettings(aMembers.Self().m_entry), aContext.m_random.Next())
  , m_suspects(kSuspicionWindow)
  , m_cancelled(kCancelledWindow) {}

void CrashWatch::Start() {
  m_context.m_loop.Every(kTickInterval, [this] {
    const Time now = m_context.m_loop.Now();
    m_suspects.Expire(now);
    m_cancelled.Expire(now);
    Apply(m_history.Tick(now));
  });
}

BackendServerId CrashWatch::IdOf(const BackendLink& aBackend) {
  return std::to_string(aBackend.m_identity);
}

bool CrashWatch::MayRun(const CrashCauses& aCauses, CrashTrial& aTrial) {
  const CrashTrial before = aTrial;
  Step<VerdictChanged> step;
  const bool mayRun = m_history.MayRun(aCauses, aTrial, m_context.m_loop.Now(), step);
  if (aTrial.m_refusals != before.m_refusals) {
    for (const auto& [fingerprint, refusals] : aTrial.m_refusals) {
      LogLine line("content-trial");
      line.Text("content", fingerprint).Count("refusals", refusals);
      m_context.Log(LogPriority::Notable, line);
    }
  }
  Apply(step);
  return mayRun;
}

void CrashWatch::OnTrialSent(const CrashTrial& aTrial) {
  ApplyOwn(m_history.OnTrialSent(aTrial, m_context.m_loop.Now()));
}

std::string CrashWatch::RefusedCause(const CrashCauses& aCauses) const {
  return m_history.RefusedCause(aCauses, m_context.m_loop.Now());
}

Duration CrashWatch::RefusedFor(const std::string& aFingerprint) const {
  const Time now = m_context.m_loop.Now();
  return m_history.EndOfRefusal(aFingerprint, now) - now;
}

bool CrashWatch::IsSuspect(const std::string& aContent) const {
  return m_history.IsSuspect(aContent, m_context.m_loop.Now());
}

void CrashWatch::OnBroken(const std::shared_ptr<BackendLink>& aBackend, ServerRun aRun,
                          std::function<void()> aOnChecked) {
  const Time now = m_context.m_loop.Now();
  // The server may have been started again between the choice of it and the sending.
  const std::shared_ptr<BackendLink> current =
    aBackend->m_isRemoved ? m_context.m_backends.Find(aBackend->m_record.m_id) : aBackend;
  if (!current || current->IsLeaving(now)) {
    // It is leaving, so its end is not a crash.
    aOnChecked();
    return;
  }
  AddSuspect(m_suspects, *current, std::move(aRun));
  const auto [check, isNew] = m_checks.try_emplace(current->m_identity);
  check->second.push_back(std::move(aOnChecked));
  if (isNew) {
    m_context.m_healthChecks->Ask(
      current, [this, current](ServerLiveness aResult) { OnCheckResult(current, aResult); });
  }
  m_context.m_loop.After(kMaxCheckWait,
                         [this, identity = current->m_identity] { ReleaseWaiting(identity); });
}

void CrashWatch::ReleaseWaiting(std::uint64_t aIdentity) {
  const auto check = m_checks.find(aIdentity);
  if (check == m_checks.end()) {
    return;
  }
  const std::vector<std::function<void()>> waiting = std::exchange(check->second, {});
  for (const std::function<void()>& resume : waiting) {
    resume();
  }
}

void CrashWatch::OnCheckResult(const std::shared_ptr<BackendLink>& aBackend,
                               ServerLiveness aResult) {
  const std::uint64_t identity = aBackend->m_identity;
  switch (aResult) {
    case ServerLiveness::Ended:
      OnRefused(aBackend, [this, identity] { EndCheck(identity); });
      return;
    case ServerLiveness::Runs:
      m_suspects.RefuteServer(IdOf(*aBackend));
      break;
    case ServerLiveness::Unknown:
      break;
  }
  EndCheck(identity);
}

void CrashWatch::EndCheck(std::uint64_t aIdentity) {
  ReleaseWaiting(aIdentity);
  m_checks.erase(aIdentity);
}

void CrashWatch::OnSilent(const BackendLink& aBackend, ServerRun aRun) {
  AddSuspect(m_suspects, aBackend, std::move(aRun));
}

void CrashWatch::OnCancelled(const BackendLink& aBackend, ServerRun aRun) {
  AddSuspect(m_cancelled, aBackend, std::move(aRun));
}

void CrashWatch::AddSuspect(SuspectedCrashes<Suspicion>& aSuspects, const BackendLink& aBackend,
                            ServerRun aRun) {
  std::string content = aRun.m_causes.m_content;
  aSuspects.Add({.m_fingerprint = std::move(content),
                 .m_server = IdOf(aBackend),
                 .m_run = std::move(aRun),
                 .m_at = m_context.m_loop.Now()});
}

void CrashWatch::OnRefused(const std::shared_ptr<BackendLink>& aBackend,
                           std::function<void()> aOnDecided) {
  const Time now = m_context.m_loop.Now();
  const bool isSuspicious = m_suspects.Has(IdOf(*aBackend)) || m_cancelled.Has(IdOf(*aBackend));
  const bool isAmbiguous =
    m_checks.size() > 1 || !m_refusals.empty() ||
    (m_lastRefusing != aBackend->m_identity && now - m_lastRefusal <= kCommonCauseTime);
  if (isSuspicious) {
    m_lastRefusal = now;
    m_lastRefusing = aBackend->m_identity;
  }
  if (!isSuspicious || !isAmbiguous) {
    OnCrashed(*aBackend);
    aOnDecided();
    return;
  }
  m_refusals.push_back({.m_backend = aBackend, .m_onDecided = std::move(aOnDecided)});
  if (m_refusals.size() == 1) {
    m_context.m_loop.After(kCommonCauseDelay, [this] { CheckOwnPath(); });
  }
}

void CrashWatch::CheckOwnPath() {
  const Time now = m_context.m_loop.Now();
  std::vector<std::shared_ptr<BackendLink>> others = m_context.m_backends.All();
  std::erase_if(others, [this, now](const std::shared_ptr<BackendLink>& aServer) {
    return aServer->IsLeaving(now) || m_checks.contains(aServer->m_identity) ||
           aServer->m_contact.m_failedAt > aServer->m_contact.m_reachedAt;
  });
  std::sort(
    others.begin(), others.end(),
    [](const std::shared_ptr<BackendLink>& aFirst, const std::shared_ptr<BackendLink>& aSecond) {
      return aFirst->m_contact.m_reachedAt > aSecond->m_contact.m_reachedAt;
    });
  others.resize(std::min(others.size(), kPathChecks));
  if (others.empty()) {
    DecideRefusals(false);
    return;
  }
  const std::shared_ptr<std::size_t> left = std::make_shared<std::size_t>(others.size());
  for (const std::shared_ptr<BackendLink>& server : others) {
    server->m_pool.CheckReachability([this, server, left](Reachability aResult) {
      --*left;
      if (aResult == Reachability::Accepts) {
        m_context.m_paths->OnReached(*server);
        DecideRefusals(true);
      } else {
        m_context.m_paths->OnUnreachable(*server);
        if (*left == 0) {
          DecideRefusals(false);
        }
      }
    });
  }
}

void CrashWatch::DecideRefusals(bool aHasPath) {
  const std::vector<Refusal> refusals = std::exchange(m_refusals, {});
  for (const Refusal& refusal : refusals) {
    LogLine line("server-refusal");
    line.Text("backend", refusal.m_backend->m_record.m_id).Flag("has-path", aHasPath);
    m_context.Log(LogPriority::Notable, line);
    if (aHasPath) {
      OnCrashed(*refusal.m_backend);
    } else {
      m_suspects.RefuteServer(IdOf(*refusal.m_backend));
    }
    refusal.m_onDecided();
  }
}

void CrashWatch::OnCrashed(BackendLink& aBackend) {
  const Time now = m_context.m_loop.Now();
  if (aBackend.IsLeaving(now)) {
    // It was leaving, so its end is not a crash.
    m_suspects.RefuteServer(IdOf(aBackend));
    return;
  }
  std::vector<ServerRun> runs;
  for (SuspectedCrashes<Suspicion>* suspects : {&m_suspects, &m_cancelled}) {
    for (Suspicion& suspicion : suspects->Confirm(IdOf(aBackend), now)) {
      LogSuspect(aBackend, suspicion);
      runs.push_back(std::move(suspicion.m_run));
    }
  }
  if (runs.empty()) {
    return;
  }
  aBackend.m_health.OnUnreachable(now);
  LogLine line("server-crashed");
  line.Text("backend", aBackend.m_record.m_id).Count("runs", runs.size());
  line.Text("content", runs.front().m_causes.m_content);
  m_context.Log(LogPriority::Notable, line);
  ApplyOwn(m_history.OnCrashes(FindCrashSuspects(runs), IdOf(aBackend), now));
}

void CrashWatch::LogSuspect(const BackendLink& aBackend, const Suspicion& aSuspicion) const {
  const ServerRun& run = aSuspicion.m_run;
  LogLine line("crash-suspect");
  line.Text("id", run.m_requestId).Text("backend", aBackend.m_record.m_id);
  line.Text("content", run.m_causes.m_content);
  std::vector<std::string> parts;
  for (const SharedPart& part : run.m_causes.m_parts) {
    parts.push_back(part.m_anywhere);
  }
  line.Text("parts", fmt::format("{}", fmt::join(parts, ",")));
  line.Text("role", NameOf(kRunRoleNames, RoleOf(run)));
  line.Ms("sent", aSuspicion.m_at - run.m_sentAt);
  if (run.m_headAt) {
    line.Ms("head", aSuspicion.m_at - *run.m_headAt);
  }
  if (run.m_firstEventAt) {
    line.Ms("first-event", aSuspicion.m_at - *run.m_firstEventAt);
  }
  m_context.Log(LogPriority::Notable, line);
}

void CrashWatch::OnFinished(const CrashCauses& aCauses) {
  m_suspects.RefuteRequest(aCauses.m_content);
  ApplyOwn(m_history.OnFinished(aCauses, m_context.m_loop.Now()));
}

void CrashWatch::OnBegun(const CrashCauses& aCauses) {
  ApplyOwn(m_history.OnBegun(aCauses, m_context.m_loop.Now()));
}

void CrashWatch::OnMembersChanged() {
  std::vector<EntryId> others;
  for (const MemberDigest& member : m_members.All()) {
    if (member.m_entry != m_members.Self().m_entry) {
      others.push_back(member.m_entry);
    }
  }
  Apply(m_history.OnMembers(others, m_context.m_loop.Now()));
}

void CrashWatch::OnPeerMessage(const std::string& aBytes) {
  const Result<Envelope> envelope = DecodeMessage(aBytes);
  if (envelope.IsError()) {
    LogLine line("note-refused");
    line.Text("reason", envelope.GetError().m_detail).Count("bytes", aBytes.size());
    m_context.Log(LogPriority::Notable, line);
    return;
  }
  Apply(
    m_history.OnMessage(envelope.Get().m_from, envelope.Get().m_message, m_context.m_loop.Now()));
}

void CrashWatch::OnRecord(const std::string& aFingerprint, std::size_t aRefusals) {
  Apply(m_history.OnRecord(aFingerprint, aRefusals, m_context.m_loop.Now()));
}

void CrashWatch::OnRecordLost(const std::string& aFingerprint, std::size_t aRefusals) {
  // The same few entries write it, whatever the size of the fleet.
  if (m_members.Rank() < kRecordKeepers && RefusedFor(aFingerprint) > Duration(0)) {
    Keep(aFingerprint, aRefusals);
  }
}

void CrashWatch::Apply(const Step<VerdictChanged>& aStep) {
  for (const VerdictChanged& outcome : aStep.m_outcomes) {
    LogLine line(outcome.m_refusals > 0 ? "content-refused" : "content-cleared");
    line.Text("content", outcome.m_fingerprint).Count("refusals", outcome.m_refusals);
    line.Ms("for", RefusedFor(outcome.m_fingerprint));
    m_context.Log(LogPriority::Notable, line);
  }
  const std::vector<MemberDigest>& members = m_members.All();
  for (const Effect& effect : aStep.m_effects) {
    const SendMessage& send = std::get<SendMessage>(effect);
    const auto member =
      std::find_if(members.begin(), members.end(),
                   [&send](const MemberDigest& aMember) { return aMember.m_entry == send.m_to; });
    if (member != members.end()) {
      m_send(member->m_datagramAddress,
             EncodeMessage({.m_from = m_members.Self().m_entry, .m_message = send.m_message}));
    }
  }
}

void CrashWatch::ApplyOwn(const Step<VerdictChanged>& aStep) {
  Apply(aStep);
  for (const VerdictChanged& outcome : aStep.m_outcomes) {
    if (outcome.m_refusals >= kMinKeptRefusals) {
      Keep(outcome.m_fingerprint, outcome.m_refusals);
    } else if (outcome.m_refusals == 0) {
      RemoveRecord(outcome.m_fingerprint);
    }
  }
}

void CrashWatch::Keep(const std::string& aFingerprint, std::size_t aRefusals) {
  const Time now = m_context.m_loop.Now();
  if (now - m_recordSecond >= Seconds(1)) {
    m_recordSecond = now;
    m_recordsInSecond = 0;
  }
  if (++m_recordsInSecond > kMaxRecordsPerSecond) {
    LogUnkept(aFingerprint, "too many records");
    return;
  }
  const GrantLease grant{.m_milliseconds = InMilliseconds(kRecordLease)};
  m_store.Call(grant, [this, aFingerprint, aRefusals](const PlatformReply& aGranted) {
    if (aGranted.m_status != PlatformStatus::Ok) {
      LogUnkept(aFingerprint, "no lease");
      return;
    }
    const std::string key = platform::MakeKey(platform::KeyKind::CrashRecord, aFingerprint);
    const KeyValue* current = m_store.Mirror().Find(key);
    const PutKey put{.m_key = key,
                     .m_value = WriteCrashRecord({.m_refusals = aRefusals}),
                     .m_expected = current == nullptr ? kAbsent : current->m_revision,
                     .m_lease = aGranted.m_lease};
    m_store.Call(put, [this, aFingerprint](const PlatformReply& aWritten) {
      // A conflict means that another entry has just written the same.
      if (aWritten.m_status != PlatformStatus::Ok &&
          aWritten.m_status != PlatformStatus::Conflict) {
        LogUnkept(aFingerprint, "not written");
      }
    });
  });
}

void CrashWatch::RemoveRecord(const std::string& aFingerprint) {
  const std::string key = platform::MakeKey(platform::KeyKind::CrashRecord, aFingerprint);
  const KeyValue* current = m_store.Mirror().Find(key);
  if (current != nullptr) {
    // If this fails, the record ends with its lease.
    m_store.Call(RemoveKey{.m_key = key, .m_expected = current->m_revision},
                 [](const PlatformReply&) {});
  }
}

void CrashWatch::LogUnkept(const std::string& aFingerprint, std::string_view aReason) const {
  // The live entries know of the refusal. Only a fleet that starts anew would not.
  LogLine line("crash-record-failed");
  line.Text("content", aFingerprint).Text("reason", aReason);
  m_context.Log(LogPriority::Notable, line);
}

} // namespace fennelline
