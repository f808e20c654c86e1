#pragma once

#include "LibBase/Time.h"
#include "LibCoordination/Message.h"
#include "LibCoordination/PlatformCall.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace fennelline {

/// Names a caller's open request within this process.
using CallerId = std::uint64_t;

/// Names one call to a backend server within this process.
using BackendCallId = std::uint64_t;

/// A caller sent a request. The shell has read it whole and within the size limits.
struct CallerRequest {
  CallerId m_caller = 0;
  /// "POST /v1/chat/completions" is Model; "POST /v1/services/NAME/OPERATION" is Service.
  enum class Target : std::uint8_t { Model, Service } m_target = Target::Model;
  std::string m_service;
  std::string m_operation;
  /// SHA-256 of the bearer key, in hexadecimal digits.
  std::string m_keyHash;
  /// The headers Idempotency-Key, Fennelline-Kind, Fennelline-Session and Fennelline-Deadline-Ms;
  /// empty or zero where missing.
  std::string m_idempotencyKey;
  std::string m_kind;
  std::string m_session;
  std::int64_t m_deadlineMs = 0;
  std::string m_body;
  /// Parsed from the body of model work: the model or version asked for (empty: any), the prompt's
  /// text in order, the longest answer, and whether to stream.
  std::string m_model;
  std::string m_prompt;
  std::int64_t m_mostOutputTokens = 0;
  bool m_stream = false;
};

/// The caller closed its connection.
struct CallerGone {
  CallerId m_caller = 0;
};

/// The head of a backend server's answer.
struct BackendAnswered {
  BackendCallId m_call = 0;
  int m_status = 0;
  std::string m_contentType;
};

/// A piece of the answer: an event of a stream, or the whole body.
struct BackendChunk {
  BackendCallId m_call = 0;
  std::string m_bytes;
  /// Tokens of text in this piece.
  std::int64_t m_tokens = 0;
  /// The number of the stream's event, to resume after it.
  std::uint64_t m_eventNumber = 0;
};

/// The answer came whole.
struct BackendFinished {
  BackendCallId m_call = 0;
  std::int64_t m_inputTokens = 0;
  std::int64_t m_outputTokens = 0;
  /// The version that the backend server says it ran.
  std::string m_version;
};

enum class BackendFailure : std::uint8_t {
  /// No byte of the request was sent: it truly did not run.
  NotSent,
  /// The backend server refused it and says that it did not run.
  Refused,
  /// The connection broke or went silent after the request was sent: it may have run.
  Broken,
  /// The backend server answered that it failed.
  ServerError,
  /// A stream cannot be resumed.
  StreamLost,
};

struct BackendFailed {
  BackendCallId m_call = 0;
  BackendFailure m_failure = BackendFailure::Broken;
  std::string m_detail;
  BackendServerId m_backendServer;
};

/// A VM of the platform's list.
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

/// A backend server reported its load, or could not be asked.
struct LoadPolled {
  BackendServerId m_backendServer;
  bool m_reached = false;
  /// Where it was not reached: nothing listens at its address, as after a crash. Otherwise the
  /// connection went silent, which says little about the server.
  bool m_refused = false;
  /// The server was asked because a call to it had failed, and after that failure.
  bool m_afterFailure = false;
  LoadReport m_report;
  std::int64_t m_slots = 0;
  bool m_leaving = false;
};

/// A prefix of a prompt entered or left a backend server's cache. Late and with gaps.
struct CacheChanged {
  BackendServerId m_backendServer;
  /// Hashes of prompt prefixes, see PrefixHashes.h.
  std::vector<std::uint64_t> m_added;
  std::vector<std::uint64_t> m_removed;
  /// Events were missed: what was known of this server's cache is out of date.
  bool m_gap = false;
};

/// The rating service's verdict on an answer, asked for by a SubmitRating effect.
struct RatingArrived {
  std::uint64_t m_rating = 0;
  bool m_good = false;
  /// The service gave no verdict.
  bool m_failed = false;
};

/// A peer's message.
struct MessageReceived {
  EntryId m_from;
  Message m_message;
};

struct DatagramReceived {
  MembershipDatagram m_datagram;
};

/// Time passed. Comes each kTickInterval while requests are open, otherwise each
/// kIdleTickInterval.
struct Tick {};

/// The process is asked to stop gracefully.
struct StopRequested {};

using Event =
  std::variant<CallerRequest, CallerGone, BackendAnswered, BackendChunk, BackendFinished,
               BackendFailed, VmListRead, LoadPolled, CacheChanged, RatingArrived, MessageReceived,
               DatagramReceived, PlatformReply, Tick, StopRequested>;

constexpr Duration kTickInterval = Milliseconds(5);
constexpr Duration kIdleTickInterval = Milliseconds(25);

} // namespace fennelline
