#include "Services/Edge/Members.h"

#include "LibWire/MessageCodec.h"

#include <algorithm>
#include <array>
#include <netinet/in.h>
#include <sys/socket.h>

namespace fennelline {

namespace {

/// Keys for the tag of datagrams between entries, which distinguishes them from unrelated ones. It
/// does not authenticate: the deployment's network is trusted and its settings contain no secret.
const std::vector<std::string> kDatagramTagKeys = {"fennelline"};

/// First byte of peer messages. Membership datagrams begin with a tag of hexadecimal digits.
constexpr char kPeerMessageTag = 'N';

constexpr Duration kTickInterval = Milliseconds(50);

/// Callers should only be directed to live entries, so a failed one must be detected within a
/// second.
MembershipSettings FailureDetectionSettings() {
  MembershipSettings settings;
  settings.m_probeInterval = Milliseconds(250);
  settings.m_directTimeout = Milliseconds(120);
  settings.m_probeTimeout = Milliseconds(300);
  settings.m_suspicionTime = Seconds(2);
  settings.m_seedInterval = Milliseconds(400);
  settings.m_verifyInterval = Milliseconds(200);
  settings.m_urgentInterval = Milliseconds(100);
  return settings;
}

MemberDigest MakeSelf(EdgeContext& aContext) {
  MemberDigest self;
  // A restarted process is a new member, since it lost its in-memory state.
  self.m_entry = aContext.m_settings.m_name + "#" + std::to_string(aContext.m_random.Next());
  self.m_dataCentre = aContext.m_settings.m_zone;
  self.m_datagramAddress =
    aContext.m_settings.m_ip + ":" + std::to_string(aContext.m_settings.m_datagramPort);
  self.m_streamAddress = aContext.m_settings.m_peerAddress;
  return self;
}

} // namespace

Members::Members(EdgeContext& aContext, MembersListener aListener)
  : m_context(aContext)
  , m_listener(std::move(aListener))
  , m_membership(FailureDetectionSettings(), MakeSelf(aContext), aContext.m_random.Next()) {}

Result<void> Members::Start() {
  m_socket = TRY(BindDatagram(m_context.m_settings.m_ip, m_context.m_settings.m_datagramPort));
  m_context.m_loop.Watch(m_socket.Number(), [this](const Readiness&) { Receive(); });
  m_context.m_loop.Every(kTickInterval,
                         [this] { ApplyStep(m_membership.Tick(m_context.m_loop.Now())); });
  return {};
}

void Members::AddSeeds(std::vector<std::string> aAddresses) {
  ApplyStep(m_membership.OnVmList(std::move(aAddresses), m_context.m_loop.Now()));
}

void Members::SetCallerAddress(const std::string& aAddress) {
  ApplyStep(m_membership.SetCallerAddress(aAddress, m_context.m_loop.Now()));
}

void Members::Leave() {
  ApplyStep(m_membership.Leave(m_context.m_loop.Now()));
}

std::size_t Members::Rank() const {
  std::size_t rank = 0;
  for (const MemberDigest& member : All()) {
    if (member.m_entry == Self().m_entry) {
      return rank;
    }
    rank += member.m_state == MemberState::Alive ? 1 : 0;
  }
  return rank;
}

const std::vector<MemberDigest>& Members::All() const {
  if (!m_all) {
    m_all = m_membership.Members();
  }
  return *m_all;
}

void Members::Receive() {
  std::array<char, kMaxDatagramBytes> buffer;
  while (true) {
    const ssize_t count = ::recv(m_socket.Number(), buffer.data(), buffer.size(), 0);
    if (count < 0) {
      return;
    }
    const std::string_view bytes(buffer.data(), static_cast<std::size_t>(count));
    if (bytes.starts_with(kPeerMessageTag)) {
      m_listener.m_onPeerMessage(std::string(bytes.substr(1)));
    } else {
      ReceiveMembership(bytes);
    }
  }
}

void Members::ReceiveMembership(std::string_view aBytes) {
  const Result<MembershipDatagram> datagram = DecodeDatagram(aBytes, kDatagramTagKeys);
  if (datagram.IsError()) {
    LogLine line("datagram-refused");
    line.Text("reason", datagram.GetError().m_detail);
    m_context.Log(LogPriority::Notable, line);
    return;
  }
  const MembershipDatagram& message = datagram.Get();
  ApplyStep(m_membership.OnDatagram(message, m_context.m_loop.Now()));
  for (const MemberDigest& member : All()) {
    if (member.m_entry == message.m_from) {
      m_listener.m_onPeerRevision(member.m_streamAddress, message.m_configurationRevision);
    }
  }
}

void Members::SendPeerMessage(const std::string& aAddress, const std::string& aMessage) {
  SendBytes(aAddress, kPeerMessageTag + aMessage);
}

void Members::SendToSome(std::size_t aMaxCount, const std::string& aMessage) {
  std::vector<MemberDigest> others = All();
  std::erase_if(others, [this](const MemberDigest& aMember) {
    return aMember.m_entry == Self().m_entry || aMember.m_state != MemberState::Alive;
  });
  // A partial shuffle moves the entries that are told to the front.
  const std::size_t count = std::min(aMaxCount, others.size());
  for (std::size_t index = 0; index < count; ++index) {
    std::swap(others[index], others[index + m_context.m_random.Below(others.size() - index)]);
    SendPeerMessage(others[index].m_datagramAddress, aMessage);
  }
}

void Members::SendBytes(const std::string& aAddress, const std::string& aBytes) {
  Result<sockaddr_in> address = ParseSocketAddress(aAddress);
  if (address.IsError()) {
    LogLine line("datagram-unsent");
    line.Text("reason", address.GetError().m_detail);
    m_context.Log(LogPriority::Notable, line);
    return;
  }
  // A send error is handled like a lost datagram.
  ::sendto(m_socket.Number(), aBytes.data(), aBytes.size(), 0,
           reinterpret_cast<const sockaddr*>(&address.Get()), sizeof(sockaddr_in));
}

void Members::ApplyStep(const Step<MembershipOutcome>& aStep) {
  for (const Effect& effect : aStep.m_effects) {
    const SendDatagram* send = std::get_if<SendDatagram>(&effect);
    if (send != nullptr) {
      SendBytes(send->m_address, EncodeDatagram(send->m_datagram, kDatagramTagKeys.front()));
    }
  }
  for (const MembershipOutcome& outcome : aStep.m_outcomes) {
    const MemberChanged* change = std::get_if<MemberChanged>(&outcome);
    if (change == nullptr) {
      continue;
    }
    LogLine line("member");
    line.Text("member", change->m_member.m_entry);
    line.Text("state", NameOf(kMemberStateNames, change->m_member.m_state));
    line.Count("version", change->m_member.m_version);
    line.Text("callers-at", change->m_member.m_callerAddress);
    m_context.Log(LogPriority::Notable, line);
  }
  if (!aStep.m_outcomes.empty()) {
    m_all.reset();
    m_listener.m_onChanged();
  }
}

} // namespace fennelline
