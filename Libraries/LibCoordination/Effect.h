#pragma once

#include "LibCoordination/Identity.h"
#include "LibCoordination/Message.h"
#include "LibCoordination/PlatformCall.h"
#include "LibCoordination/TimelineRecord.h"

#include <variant>
#include <vector>

namespace fennelline {

/// Sends a message to a peer over its stream. It may be lost, delayed or reordered, and delivery is
/// not reported.
struct SendMessage {
  EntryId m_to;
  Message m_message;
};

/// Sends a datagram to an address, "IP:PORT". It may be lost, delayed, duplicated or reordered.
struct SendDatagram {
  std::string m_address;
  MembershipDatagram m_datagram;
};

/// Calls the platform's key-value service. The reply arrives as a PlatformReply, or never.
struct CallPlatform {
  CallId m_call;
  PlatformRequest m_request;
};

/// Appends a record to the timeline of this process.
struct RecordTimeline {
  TimelineRecord m_record;
};

using Effect = std::variant<SendMessage, SendDatagram, CallPlatform, RecordTimeline>;
using Effects = std::vector<Effect>;

} // namespace fennelline
