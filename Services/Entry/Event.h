#pragma once

#include "LibBase/Time.h"
#include "LibCoordination/Message.h"
#include "LibCoordination/PlatformCall.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace fennelline {

/// Identifies a caller's open request within this process.
using CallerId = std::uint64_t;

/// Identifies a call to a backend server within this process.
using BackendCallId = std::uint64_t;

/// A caller sent a request. It was read completely and is within the size limits.
struct CallerRequest {
  CallerId m_caller = 0;
  /// "POST /v1/chat/completions" is Model; "POST /v1/services/NAME/OPERATION" is Service.
  enum class Target : std::uint8_t { Model, Service } m_target = Target::Model;
  std::string m_service;
  std::string m_operation;
  /// SHA-256 of the bearer key, in hexadecimal digits.
  std::string m_keyHash;
  /// The headers Idempotency-Key, Fennelline-Kind, Fennelline-Session and Fennelline-Deadline-Ms;
  /// empty or zero if missing.
  std::string m_idempotencyKey;
  std::string m_kind;
  std::string m_session;
  std::int64_t m_deadlineMs = 0;
  std::string m_body;
  /// Parsed from the body of a model request: the requested model or version (empty: any), the
  /// concatenated prompt text, the maximum answer length, and whether to stream.
  std::string m_model;
  std::string m_prompt;
  std::int64_t m_mostOutputTokens = 0;
  bool m_stream = false;
};

/// The caller closed its connection.
struct CallerGone {
  CallerId m_caller = 0;
};

/// The status and headers of a backend server's response arrived.
struct BackendAnswered {
  BackendCallId m_call = 0;
  int m_status = 0;
  std::string m_contentType;
};

/// A part of the response body: one event of a stream, or the whole body.
struct BackendChunk {
  BackendCallId m_call = 0;
  std::string m_bytes;
  /// Number of text tokens in this chunk.
  std::int64_t m_tokens = 0;
  /// Sequence number of the stream event, used to resume after it.
  std::uint64_t m_eventNumber = 0;
};

/// The response is complete.
struct BackendFinished {
  BackendCallId m_call = 0;
  std::int64_t m_inputTokens = 0;
  std::int64_t m_outputTokens = 0;
  /// The version that the backend server reports to have run.
  std::string m_version;
};

enum class BackendFailure : std::uint8_t {
  /// No byte of the request was sent, so it certainly did not run.
  NotSent,
  /// The backend server rejected the request and states that it did not run.
  Refused,
  /// The connection broke or timed out after the request was sent: it may have run.
  Broken,
  /// The backend server responded with an error.
  ServerError,
  /// The stream broke and cannot be resumed.
  StreamLost,
};

struct BackendFailed {
  BackendCallId m_call = 0;
  BackendFailure m_failure = BackendFailure::Broken;
  std::string m_detail;
  BackendServerId m_backendServer;
};

/// A VM in the platform's VM list.
struct ListedVm {
  std::string m_name;
  /// "IP:PORT".
  std::string m_address;
  DataCentre m_dataCentre;
  /// "entry", "model" or "service:NAME".
  std::string m_role;
  bool m_leaving = false;
};

struct VmListRead {
  std::vector<ListedVm> m_vms;
};

/// A load poll of a backend server completed or failed.
struct LoadPolled {
  BackendServerId m_backendServer;
  bool m_reached = false;
  /// If not reached: the connection was refused, as after a crash. Otherwise the poll timed out,
  /// which says little about the server.
  bool m_refused = false;
  /// The poll was started because a call to the server had failed, and after that failure.
  bool m_afterFailure = false;
  LoadReport m_report;
  std::int64_t m_slots = 0;
  bool m_leaving = false;
};

/// Prompt prefixes were added to or evicted from a backend server's cache. These events arrive with
/// a delay and some may be missing.
struct CacheChanged {
  BackendServerId m_backendServer;
  /// Hashes of prompt prefixes, see PrefixHashes.h.
  std::vector<std::uint64_t> m_added;
  std::vector<std::uint64_t> m_removed;
  /// Events were missed: the known state of this server's cache is out of date.
  bool m_gap = false;
};

/// The rating service's verdict on an answer that a SubmitRating effect submitted.
struct RatingArrived {
  std::uint64_t m_rating = 0;
  bool m_good = false;
  /// The service gave no verdict.
  bool m_failed = false;
};

/// A message from a peer entry.
struct MessageReceived {
  EntryId m_from;
  Message m_message;
};

struct DatagramReceived {
  MembershipDatagram m_datagram;
};

/// Periodic timer event, every kTickInterval while requests are open, otherwise every
/// kIdleTickInterval.
struct Tick {};

/// A graceful stop of the process was requested.
struct StopRequested {};

using Event =
  std::variant<CallerRequest, CallerGone, BackendAnswered, BackendChunk, BackendFinished,
               BackendFailed, VmListRead, LoadPolled, CacheChanged, RatingArrived, MessageReceived,
               DatagramReceived, PlatformReply, Tick, StopRequested>;

constexpr Duration kTickInterval = Milliseconds(5);
constexpr Duration kIdleTickInterval = Milliseconds(25);

} // namespace fennelline
