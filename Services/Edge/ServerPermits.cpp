#include "Services/Edge/ServerPermits.h"

#include "Services/Edge/Hash.h"

#include <algorithm>
#include <set>
#include <utility>

namespace fennelline {

namespace {

/// First byte of a message between entries: its type.
constexpr char kQuestionType = 'P';
constexpr char kAnswerType = 'A';
constexpr char kNoticeType = 'B';

/// An issuer answers within a round trip between data centres. A permit that is older than this was
/// held up, and others may have been issued since.
constexpr Duration kAnswerTimeout = Milliseconds(60);
/// Permits are not asked for again within this time if the issuer did not answer.
constexpr Duration kUnansweredWait = Milliseconds(200);

/// An entry that has just started may not know yet that there are others, which issue permits.
constexpr Duration kDiscoveryTime = Seconds(2);

/// A limited server that no answer tells of for this long is asked whether it still limits
/// requests, first by the entry that issues its permits.
constexpr Duration kCheckInterval = Seconds(2);

/// The issuers remind other entries of limits, for those that missed a notice or have just started.
constexpr Duration kReminderInterval = Seconds(1);
constexpr std::size_t kReminderReceivers = 8;

std::string NodeOf(const std::string& aEntry) {
  return aEntry.substr(0, aEntry.find('#'));
}

} // namespace

void ServerPermits::Start() {
  m_startedAt = m_context.m_loop.Now();
  OnMembersChanged();
  m_context.m_loop.Every(kReminderInterval, [this] { Remind(); });
}

void ServerPermits::OnMembersChanged() {
  m_entries.clear();
  m_entryHashes.clear();
  std::set<std::string> nodes;
  const std::string& self = m_members.Self().m_entry;
  for (const MemberDigest& member : m_members.All()) {
    const bool isSelf = member.m_entry == self;
    if (member.m_state == MemberState::Alive || isSelf) {
      m_entries.push_back({.m_address = member.m_datagramAddress, .m_isSelf = isSelf});
      m_entryHashes.push_back(HashOf(member.m_entry));
      nodes.insert(NodeOf(member.m_entry));
    }
  }
  m_share.OnMembers(std::move(nodes), m_context.m_loop.Now());
  m_issuer.OnMembersChanged(m_context.m_loop.Now());
}

const ServerPermits::Entry& ServerPermits::IssuerOf(std::uint64_t aServer) const {
  return m_entries[ChoosePermitIssuer(aServer, m_entryHashes)];
}

PermitDecision ServerPermits::Issue(std::uint64_t aServer, std::optional<double> aPerSecond,
                                    std::optional<PermitTerms> aColdTerms, int aUrgency) {
  const Time now = m_context.m_loop.Now();
  if (m_entries.size() == 1 && now - m_startedAt < kDiscoveryTime) {
    return {.m_nextPermit = kUnansweredWait, .m_likelyWait = kDiscoveryTime};
  }
  if (!aColdTerms) {
    return m_issuer.Take(aServer, aPerSecond.value_or(0.0), m_share.At(now), aUrgency, now);
  }
  const PermitTerms terms{
    .m_perSecond = std::min(aColdTerms->m_perSecond, aPerSecond.value_or(aColdTerms->m_perSecond)),
    .m_mostUnused = std::min(aColdTerms->m_mostUnused, kMaxPermits)};
  return m_issuer.Take(aServer, terms, m_share.At(now), aUrgency, now);
}

void ServerPermits::Ask(const BackendLink& aBackend, int aUrgency, OnDecision aOnDecision) {
  const std::optional<double> perSecond = aBackend.m_limit.PerSecond();
  const std::optional<PermitTerms> coldTerms = ColdTermsFor(aBackend);
  const Entry& issuer = IssuerOf(aBackend.m_identity);
  if (issuer.m_isSelf) {
    aOnDecision(Issue(aBackend.m_identity, perSecond, coldTerms, aUrgency));
    return;
  }
  const std::uint64_t number = m_nextNumber++;
  const EventLoop::TimerId timer = m_context.m_loop.After(kAnswerTimeout, [this, number] {
    Finish(
      number,
      {.m_nextPermit = kUnansweredWait, .m_likelyWait = kUnansweredWait, .m_isUnanswered = true});
  });
  m_pending[number] = {
    .m_onDecision = std::move(aOnDecision), .m_askedAt = m_context.m_loop.Now(), .m_timer = timer};
  const PermitQuestion question{.m_number = number,
                                .m_server = aBackend.m_identity,
                                .m_urgency = aUrgency,
                                .m_perSecond = perSecond,
                                .m_limitAge = m_context.m_loop.Now() - aBackend.m_limit.AsOf(),
                                .m_replyTo = m_members.Self().m_datagramAddress,
                                .m_coldTerms = coldTerms};
  m_members.SendPeerMessage(issuer.m_address, kQuestionType + EncodePermitQuestion(question));
}

void ServerPermits::Finish(std::uint64_t aNumber, const PermitDecision& aDecision) {
  const auto found = m_pending.find(aNumber);
  if (found == m_pending.end()) {
    return;
  }
  const Pending pending = std::move(found->second);
  m_pending.erase(found);
  m_context.m_loop.Cancel(pending.m_timer);
  pending.m_onDecision(aDecision);
}

bool ServerPermits::OnPeerMessage(const std::string& aMessage) {
  if (aMessage.starts_with(kQuestionType)) {
    OnQuestion(aMessage.substr(1));
  } else if (aMessage.starts_with(kAnswerType)) {
    OnAnswer(aMessage.substr(1));
  } else if (aMessage.starts_with(kNoticeType)) {
    OnNotices(aMessage.substr(1));
  } else if (aMessage.starts_with(kReportType)) {
    OnReport(aMessage.substr(1));
  } else if (aMessage.starts_with(kColdNoticeType)) {
    OnColdNotices(aMessage.substr(1));
  } else {
    return false;
  }
  return true;
}

void ServerPermits::OnQuestion(const std::string& aBytes) {
  const Result<PermitQuestion> question = DecodePermitQuestion(aBytes);
  if (question.IsError()) {
    LogUnreadable("permit-question", aBytes);
    return;
  }
  const PermitQuestion& asked = question.Get();
  const Time now = m_context.m_loop.Now();
  const std::shared_ptr<BackendLink> backend = m_context.m_backends.FindIdentity(asked.m_server);
  std::optional<double> perSecond = asked.m_perSecond;
  std::optional<PermitTerms> coldTerms = asked.m_coldTerms;
  if (backend) {
    if (perSecond) {
      backend->m_limit.Adopt(perSecond, now - asked.m_limitAge);
    }
    // If the server names no limit any more, the asking entry will learn it soon.
    perSecond = backend->m_limit.PerSecond() ? backend->m_limit.PerSecond() : perSecond;
    coldTerms = coldTerms ? coldTerms : ColdTermsFor(*backend);
  }
  PermitAnswer answer{
    .m_number = asked.m_number,
    .m_decision = {.m_nextPermit = kUnansweredWait, .m_likelyWait = kUnansweredWait}};
  // The asking entry may not know yet of a change of members. Two issuers must not issue at once.
  if (IssuerOf(asked.m_server).m_isSelf) {
    answer.m_decision = Issue(asked.m_server, perSecond, coldTerms, asked.m_urgency);
  }
  m_members.SendPeerMessage(asked.m_replyTo, kAnswerType + EncodePermitAnswer(answer));
}

void ServerPermits::OnAnswer(const std::string& aBytes) {
  const Result<PermitAnswer> answer = DecodePermitAnswer(aBytes);
  if (answer.IsError()) {
    LogUnreadable("permit-answer", aBytes);
    return;
  }
  const auto pending = m_pending.find(answer.Get().m_number);
  // If this process stood still, the answer may be processed before its timeout.
  const bool isOld = pending != m_pending.end() &&
                     m_context.m_loop.Now() - pending->second.m_askedAt > kAnswerTimeout;
  Finish(answer.Get().m_number,
         isOld ? PermitDecision{.m_isUnanswered = true} : answer.Get().m_decision);
}

LimitNotice ServerPermits::NoticeOf(const BackendLink& aBackend) const {
  return {.m_server = aBackend.m_identity,
          .m_perSecond = aBackend.m_limit.PerSecond(),
          .m_age = m_context.m_loop.Now() - aBackend.m_limit.AsOf()};
}

void ServerPermits::OnLimitChanged(const BackendLink& aBackend) {
  SendNotices({NoticeOf(aBackend)}, kNoticeReceivers);
}

void ServerPermits::SendNotices(const std::vector<LimitNotice>& aNotices, std::size_t aReceivers) {
  SendToSome(kNoticeType + EncodeLimitNotices(aNotices), aReceivers);
}

void ServerPermits::SendToSome(const std::string& aMessage, std::size_t aReceivers) {
  const std::size_t count = std::min(aReceivers, m_entries.size());
  const std::size_t first = m_entries.empty() ? 0 : m_context.m_random.Below(m_entries.size());
  for (std::size_t index = 0; index < count; ++index) {
    const Entry& entry = m_entries[(first + index) % m_entries.size()];
    if (!entry.m_isSelf) {
      m_members.SendPeerMessage(entry.m_address, aMessage);
    }
  }
}

void ServerPermits::OnNotices(const std::string& aBytes) {
  const Result<std::vector<LimitNotice>> notices = DecodeLimitNotices(aBytes);
  if (notices.IsError()) {
    LogUnreadable("limit-notice", aBytes);
    return;
  }
  const Time now = m_context.m_loop.Now();
  for (const LimitNotice& notice : notices.Get()) {
    const std::shared_ptr<BackendLink> backend = m_context.m_backends.FindIdentity(notice.m_server);
    if (backend && backend->m_limit.Adopt(notice.m_perSecond, now - notice.m_age)) {
      LogLine line("server-limit");
      line.Text("backend", backend->m_record.m_id);
      line.Flag("limited", notice.m_perSecond.has_value());
      line.Real("per-second", notice.m_perSecond.value_or(0.0)).Ms("age", notice.m_age);
      m_context.Log(LogPriority::Notable, line);
    }
  }
}

void ServerPermits::Remind() {
  m_issuer.Expire(m_context.m_loop.Now());
  m_own.Expire(m_context.m_loop.Now());
  std::erase_if(m_crowdTold, [this](const std::pair<const std::uint64_t, Time>& aTold) {
    return m_context.m_loop.Now() - aTold.second > kCrowdedTime;
  });
  std::vector<LimitNotice> notices;
  std::vector<ColdNotice> coldNotices;
  for (const std::shared_ptr<BackendLink>& backend : m_context.m_backends.All()) {
    if (IsCold(*backend) && IssuerOf(backend->m_identity).m_isSelf) {
      coldNotices.push_back(ColdNoticeOf(*backend));
    }
    if (backend->m_limit.PerSecond() && IssuerOf(backend->m_identity).m_isSelf) {
      notices.push_back(NoticeOf(*backend));
    }
  }
  if (!notices.empty()) {
    SendNotices(notices, kReminderReceivers);
  }
  if (!coldNotices.empty()) {
    SendToSome(kColdNoticeType + EncodeColdNotices(coldNotices), kReminderReceivers);
  }
}

bool ServerPermits::IsDueForCheck(const BackendLink& aBackend) const {
  const Duration interval =
    IssuerOf(aBackend.m_identity).m_isSelf ? kCheckInterval : kCheckInterval * 2;
  const Time last = std::max(aBackend.m_limit.AsOf(), aBackend.m_limitCheckedAt);
  return m_context.m_loop.Now() - last > interval;
}

std::size_t ServerPermits::CountLimited() const {
  const std::vector<std::shared_ptr<BackendLink>> all = m_context.m_backends.All();
  return static_cast<std::size_t>(
    std::count_if(all.begin(), all.end(), [](const std::shared_ptr<BackendLink>& aBackend) {
      return aBackend->m_limit.PerSecond().has_value();
    }));
}

void ServerPermits::LogUnreadable(std::string_view aKind, const std::string& aBytes) const {
  LogLine line("note-refused");
  line.Text("mark", aKind).Count("bytes", aBytes.size());
  m_context.Log(LogPriority::Notable, line);
}

} // namespace fennelline
