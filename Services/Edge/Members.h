#pragma once

#include "LibCoordination/Membership/Membership.h"
#include "LibWire/Socket.h"
#include "Services/Edge/EdgeContext.h"

#include <functional>
#include <string>
#include <vector>

namespace fennelline {

struct MembersListener {
  /// The members, or where callers reach one of them, have changed.
  std::function<void()> m_onChanged;
  /// A peer, by its address for calls, knows of a change of the store up to this revision.
  std::function<void(const std::string&, Revision)> m_onPeerRevision;
  /// A peer sent a note, see SendPeerMessage().
  std::function<void(const std::string&)> m_onPeerMessage;
};

/// Keeps track of the other entries over UDP.
class Members {
public:
  Members(EdgeContext& aContext, MembersListener aListener);

  Result<void> Start();
  /// Addresses of entries, "IP:PORT" for datagrams, that may help to find the others.
  void AddSeeds(std::vector<std::string> aAddresses);
  /// Where callers reach this entry; empty while it takes none.
  void SetCallerAddress(const std::string& aAddress);
  void SetRevision(Revision aRevision) { m_membership.SetConfigurationRevision(aRevision); }
  void Leave();
  /// Sends bytes to an entry's address for datagrams. They may be lost.
  void SendPeerMessage(const std::string& aAddress, const std::string& aNote);

  /// Those alive or suspected, this entry included, sorted by name.
  std::vector<MemberDigest> All() const { return m_membership.Members(); }
  const MemberDigest& Self() const { return m_membership.Self(); }

private:
  void Receive();
  void ReceiveMembership(std::string_view aBytes);
  void SendBytes(const std::string& aAddress, const std::string& aBytes);
  void CarryOut(const Step<MembershipOutcome>& aStep);

  EdgeContext& m_context;
  MembersListener m_listener;
  Membership m_membership;
  FileDescriptor m_socket;
};

} // namespace fennelline
