#include "Services/Edge/LeavingNotices.h"

#include "LibRouting/MessagePack.h"

#include <vector>

namespace fennelline {

namespace {

/// First byte of a message between entries: its type.
constexpr char kNoticeType = 'D';

/// Number of entries that each entry tells. With eight, one in 3,000 is missed by all.
constexpr std::size_t kFanOut = 8;

using Identities = std::vector<std::uint64_t>;

} // namespace

void LeavingNotices::OnAnswer(const BackendLink& aBackend, std::string_view aRequest) {
  Learn(aBackend.m_identity, "answer", aRequest);
}

void LeavingNotices::Learn(std::uint64_t aServer, std::string_view aSource,
                           std::string_view aRequest) {
  if (!m_context.m_backends.MarkLeaving(aServer)) {
    return;
  }
  const std::shared_ptr<BackendLink> backend = m_context.m_backends.FindIdentity(aServer);
  LogLine line("server-leaving");
  line.Text("backend", backend ? backend->m_record.m_id : std::string());
  line.Text("source", aSource).Text("id", aRequest);
  m_context.Log(LogPriority::Notable, line);
  m_members.SendToSome(kFanOut, kNoticeType + EncodeMessagePack(Identities{aServer}));
}

bool LeavingNotices::OnPeerMessage(const std::string& aMessage) {
  if (!aMessage.starts_with(kNoticeType)) {
    return false;
  }
  const Result<Identities> servers = DecodeMessagePack<Identities>(
    aMessage.substr(1), [](const nlohmann::json& aRows) { return aRows.get<Identities>(); });
  if (servers.IsError()) {
    LogLine line("note-refused");
    line.Text("mark", "leaving-notice").Count("bytes", aMessage.size());
    m_context.Log(LogPriority::Notable, line);
    return true;
  }
  for (const std::uint64_t server : servers.Get()) {
    Learn(server, "entry", "");
  }
  return true;
}

} // namespace fennelline
