#include "Services/Edge/SessionKeeper.h"

#include "Services/Edge/Hash.h"

#include <utility>

namespace fennelline {

namespace {

/// First byte of a message between entries: its type.
constexpr char kAnnouncementType = 'S';
constexpr char kQuestionType = 'Q';
constexpr char kAnswerType = 'W';

/// A witness answers within a round trip between data centres, unless it is busy.
constexpr Duration kAnswerTimeout = Milliseconds(40);

/// Entries of earlier releases do not ask. In fleets of up to this many entries, all are told.
constexpr std::size_t kMaxToldEntries = 80;

} // namespace

void SessionKeeper::OnMembersChanged() {
  m_entries.clear();
  m_entryHashes.clear();
  const std::string& self = m_members.Self().m_entry;
  for (const MemberDigest& member : m_members.All()) {
    const bool isSelf = member.m_entry == self;
    if (member.m_state == MemberState::Alive || isSelf) {
      m_entries.push_back({.m_address = member.m_datagramAddress, .m_isSelf = isSelf});
      m_entryHashes.push_back(HashOf(member.m_entry));
    }
  }
}

bool SessionKeeper::IsRunning(std::uint64_t aSession) const {
  return m_sessions.IsRunning(aSession, m_context.m_settings.m_sessionTime, m_context.m_loop.Now());
}

void SessionKeeper::Announce(std::uint64_t aSession) {
  m_sessions.OnServed(aSession, m_context.m_loop.Now());
  const std::string message = kAnnouncementType + EncodeSessionHashes({aSession});
  if (m_entries.size() <= kMaxToldEntries) {
    for (const Entry& entry : m_entries) {
      if (!entry.m_isSelf) {
        m_members.SendPeerMessage(entry.m_address, message);
      }
    }
    return;
  }
  for (const std::size_t witness : ChooseSessionWitnesses(aSession, m_entryHashes)) {
    if (!m_entries[witness].m_isSelf) {
      m_members.SendPeerMessage(m_entries[witness].m_address, message);
    }
  }
}

void SessionKeeper::Ask(std::uint64_t aSession, OnDecided aOnDecided) {
  if (IsRunning(aSession)) {
    aOnDecided(true);
    return;
  }
  const std::vector<std::size_t> witnesses = ChooseSessionWitnesses(aSession, m_entryHashes);
  SessionInquiry inquiry(witnesses.size());
  const std::uint64_t number = m_nextNumber++;
  const SessionQuestion question{
    .m_number = number, .m_session = aSession, .m_replyTo = m_members.Self().m_datagramAddress};
  const std::string message = kQuestionType + EncodeSessionQuestion(question);
  for (const std::size_t witness : witnesses) {
    if (m_entries[witness].m_isSelf) {
      inquiry.OnAnswer(false);
    } else {
      m_members.SendPeerMessage(m_entries[witness].m_address, message);
    }
  }
  if (inquiry.IsDecided()) {
    aOnDecided(inquiry.StaysOnOldVersion());
    return;
  }
  const EventLoop::TimerId timer =
    m_context.m_loop.After(kAnswerTimeout, [this, number] { Finish(number); });
  m_pending.emplace(
    number, Pending{.m_inquiry = inquiry, .m_onDecided = std::move(aOnDecided), .m_timer = timer});
}

void SessionKeeper::Finish(std::uint64_t aNumber) {
  const auto found = m_pending.find(aNumber);
  if (found == m_pending.end()) {
    return;
  }
  const Pending pending = std::move(found->second);
  m_pending.erase(found);
  m_context.m_loop.Cancel(pending.m_timer);
  pending.m_onDecided(pending.m_inquiry.StaysOnOldVersion());
}

bool SessionKeeper::OnPeerMessage(const std::string& aMessage) {
  if (aMessage.starts_with(kAnnouncementType)) {
    OnAnnouncement(aMessage.substr(1));
  } else if (aMessage.starts_with(kQuestionType)) {
    OnQuestion(aMessage.substr(1));
  } else if (aMessage.starts_with(kAnswerType)) {
    OnAnswer(aMessage.substr(1));
  } else {
    return false;
  }
  return true;
}

void SessionKeeper::OnAnnouncement(const std::string& aBytes) {
  const Result<std::vector<std::uint64_t>> sessions = DecodeSessionHashes(aBytes);
  if (sessions.IsError()) {
    LogUnreadable("session-announcement", aBytes);
    return;
  }
  for (const std::uint64_t session : sessions.Get()) {
    m_sessions.OnServed(session, m_context.m_loop.Now());
  }
}

void SessionKeeper::OnQuestion(const std::string& aBytes) {
  const Result<SessionQuestion> question = DecodeSessionQuestion(aBytes);
  if (question.IsError()) {
    LogUnreadable("session-question", aBytes);
    return;
  }
  const SessionAnswer answer{.m_number = question.Get().m_number,
                             .m_isRunning = IsRunning(question.Get().m_session)};
  m_members.SendPeerMessage(question.Get().m_replyTo, kAnswerType + EncodeSessionAnswer(answer));
}

void SessionKeeper::OnAnswer(const std::string& aBytes) {
  const Result<SessionAnswer> answer = DecodeSessionAnswer(aBytes);
  if (answer.IsError()) {
    LogUnreadable("session-answer", aBytes);
    return;
  }
  const auto pending = m_pending.find(answer.Get().m_number);
  if (pending == m_pending.end()) {
    return;
  }
  pending->second.m_inquiry.OnAnswer(answer.Get().m_isRunning);
  if (pending->second.m_inquiry.IsDecided()) {
    Finish(answer.Get().m_number);
  }
}

void SessionKeeper::LogUnreadable(std::string_view aKind, const std::string& aBytes) const {
  LogLine line("note-refused");
  line.Text("mark", aKind).Count("bytes", aBytes.size());
  m_context.Log(LogPriority::Notable, line);
}

} // namespace fennelline
