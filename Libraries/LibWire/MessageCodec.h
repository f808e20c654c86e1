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

/// Maximum encoded size of a message, in bytes. Leaves headroom over the largest value of the
/// key-value service.
constexpr std::size_t kMaxMessageBytes = 4UL * 1'024 * 1'024;

/// Maximum encoded size of a datagram, in bytes.
constexpr std::size_t kMaxDatagramBytes = 16UL * 1'024;

/// Encodes a message as msgpack. The result may be longer than kMaxMessageBytes; the transport
/// refuses to send such a message.
std::string EncodeMessage(const Envelope& aEnvelope);

/// Decodes a message. Input that is not exactly one valid message gives an InvalidMessage error.
Result<Envelope> DecodeMessage(std::string_view aBytes);

/// Encodes a datagram: an authentication tag under the secret, followed by msgpack.
std::string EncodeDatagram(const MembershipDatagram& aDatagram, std::string_view aSecret);

/// Decodes a datagram. A tag that matches none of the secrets gives an Unauthorized error.
Result<MembershipDatagram> DecodeDatagram(std::string_view aBytes,
                                          const std::vector<std::string>& aSecrets);

} // namespace fennelline
