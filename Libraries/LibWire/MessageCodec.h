#pragma once

#include "LibBase/Error.h"
#include "LibCoordination/Identity.h"
#include "LibCoordination/Message.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace fennelline {

/// A message between entries with its sender and the sender's hybrid logical clock.
struct Envelope {
  EntryId m_from;
  std::uint64_t m_clock = 0;
  Message m_message;
};

/// The longest encoded message, in bytes. A value of the key-value service fits with room to spare.
constexpr std::size_t kMaxMessageBytes = 4UL * 1'024 * 1'024;

/// The longest encoded datagram, in bytes.
constexpr std::size_t kMaxDatagramBytes = 16UL * 1'024;

/// Writes a message as msgpack. The result may be longer than kMaxMessageBytes; the transport
/// refuses to send such a message.
std::string EncodeMessage(const Envelope& aEnvelope);

/// Reads a message. Any bytes that are not exactly one message are an InvalidMessage error.
Result<Envelope> DecodeMessage(std::string_view aBytes);

/// Writes a datagram as an authentication tag under the secret, followed by msgpack.
std::string EncodeDatagram(const MembershipDatagram& aDatagram, std::string_view aSecret);

/// Reads a datagram. A tag under none of the secrets is an Unauthorized error.
Result<MembershipDatagram> DecodeDatagram(std::string_view aBytes,
                                          const std::vector<std::string>& aSecrets);

} // namespace fennelline
