#pragma once

#include "LibCoordination/Membership/Membership.h"
#include "LibWire/Socket.h"
#include "Services/Edge/EdgeContext.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace fennelline {

struct MembersListener {
  /// The set of members, or the caller address of a member, has changed.
  std::function<void()> m_onChanged;
  /// A peer, given by its peer address, knows the store up to this revision.
  std::function<void(const std::string&, Revision)> m_onPeerRevision;
  /// Receives a message that a peer sent with SendPeerMessage().
  std::function<void(const std::string&)> m_onPeerMessage;
};

/// Tracks the other entries with a gossip membership protocol over UDP.
class Members {
public:
  Members(EdgeContext& aContext, MembersListener aListener);

  Result<void> Start();
  /// Adds datagram addresses, "IP:PORT", of entries through which others may be discovered.
  void AddSeeds(std::vector<std::string> aAddresses);
  /// Sets the address at which callers reach this entry; empty while it accepts none.
  void SetCallerAddress(const std::string& aAddress);
  void SetRevision(Revision aRevision) { m_membership.SetConfigurationRevision(aRevision); }
  void Leave();
  /// Sends a message to an entry's datagram address. It may be lost.
  void SendPeerMessage(const std::string& aAddress, const std::string& aMessage);
  /// Sends a message to random live entries, at most aMaxCount of them.
  void SendToSome(std::size_t aMaxCount, const std::string& aMessage);

  /// Members that are alive or suspected, including this entry, sorted by name.
  const std::vector<MemberDigest>& All() const;
  /// Rank of this entry among the live ones, from 0.
  std::size_t Rank() const;
  const MemberDigest& Self() const { return m_membership.Self(); }

private:
  void Receive();
  void ReceiveMembership(std::string_view aBytes);
  void SendBytes(const std::string& aAddress, const std::string& aBytes);
  void ApplyStep(const Step<MembershipOutcome>& aStep);

  EdgeContext& m_context;
  MembersListener m_listener;
  Membership m_membership;
  /// What All() returns; none after a change.
  mutable std::optional<std::vector<MemberDigest>> m_all;
  FileDescriptor m_socket;
};

} // namespace fennelline
