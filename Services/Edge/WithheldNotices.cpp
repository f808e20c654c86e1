#include "Services/Edge/WithheldNotices.h"

#include "LibRouting/MessagePack.h"

#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

namespace fennelline {

namespace {

/// First byte of a message between entries: its type.
constexpr char kNoticeType = 'H';

/// Number of entries that tell a new one, and that each entry tells after a return.
constexpr std::size_t kFanOut = 8;

/// Bounds the size of a datagram. More servers hardly leave in the seconds that a copy is old.
constexpr std::size_t kMaxServers = 100;

struct Notice {
  Duration m_remaining{0};
  std::vector<std::uint64_t> m_servers;
};

Result<Notice> DecodeNotice(const std::string& aBytes) {
  return DecodeMessagePack<Notice>(aBytes, [](const nlohmann::json& aDocument) {
    return Notice{.m_remaining = Milliseconds(aDocument.at(0).get<std::int64_t>()),
                  .m_servers = aDocument.at(1).get<std::vector<std::uint64_t>>()};
  });
}

} // namespace

std::string WithheldNotices::Encode() const {
  std::vector<std::uint64_t> servers = m_storeView.WithheldServers();
  if (servers.empty()) {
    return {};
  }
  servers.resize(std::min(servers.size(), kMaxServers));
  const Duration remaining = m_storeView.SettlesAt() - m_context.m_loop.Now();
  return kNoticeType + EncodeMessagePack(nlohmann::json{InMilliseconds(remaining), servers});
}

void WithheldNotices::OnReturn() {
  const std::string notice = Encode();
  if (!notice.empty()) {
    m_members.SendToSome(kFanOut, notice);
  }
}

void WithheldNotices::OnMembersChanged() {
  std::set<std::string> members;
  std::vector<std::string> addresses;
  for (const MemberDigest& member : m_members.All()) {
    members.insert(member.m_entry);
    if (!m_known.contains(member.m_entry) && member.m_entry != m_members.Self().m_entry) {
      addresses.push_back(member.m_datagramAddress);
    }
  }
  m_known = std::move(members);
  const std::string notice = addresses.empty() ? std::string() : Encode();
  for (const std::string& address : addresses) {
    // In a large fleet, some tell it and not all.
    if (!notice.empty() && m_context.m_random.Below(m_known.size()) < kFanOut) {
      m_members.SendPeerMessage(address, notice);
    }
  }
}

bool WithheldNotices::OnPeerMessage(const std::string& aMessage) {
  if (!aMessage.starts_with(kNoticeType)) {
    return false;
  }
  const Result<Notice> notice = DecodeNotice(aMessage.substr(1));
  if (notice.IsError()) {
    LogLine line("note-refused");
    line.Text("mark", "withheld-notice").Count("bytes", aMessage.size());
    m_context.Log(LogPriority::Notable, line);
    return true;
  }
  if (m_storeView.IsSettling()) {
    // This entry has compared the copy with what it knew.
    return true;
  }
  for (const std::uint64_t server : notice.Get().m_servers) {
    m_storeView.OnWithheldByOthers(server, m_context.m_loop.Now() + notice.Get().m_remaining);
  }
  LogLine line("withheld-by-others");
  line.Count("servers", notice.Get().m_servers.size()).Ms("for", notice.Get().m_remaining);
  m_context.Log(LogPriority::Notable, line);
  return true;
}

} // namespace fennelline
