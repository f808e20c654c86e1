#pragma once

#include "LibBase/NameTable.h"

#include <array>
#include <cstdint>
#include <optional>

namespace fennelline {

/// What a client's connection does. docs/design/connections.md describes each state and event.
enum class ConnectionState : std::uint8_t {
  /// Idle, or part of a request head has arrived.
  ReadingHead,
  ReadingBody,
  /// A request has been taken and has no response yet.
  InProgress,
  /// Part of the response has been sent.
  Answering,
  /// A response that closes the connection has been given; the client may still read it.
  Lingering,
  Ended,
};

constexpr NameTable<ConnectionState, 6> kConnectionStateNames = {{
  {ConnectionState::ReadingHead, "reading-head"},
  {ConnectionState::ReadingBody, "reading-body"},
  {ConnectionState::InProgress, "in-progress"},
  {ConnectionState::Answering, "answering"},
  {ConnectionState::Lingering, "lingering"},
  {ConnectionState::Ended, "ended"},
}};

enum class ConnectionEvent : std::uint8_t {
  /// The head of a request is complete and valid.
  HeadComplete,
  /// The whole request has arrived.
  MessageComplete,
  /// What has arrived is rejected: a parse error, a refused head, a limit, a timeout, a stop.
  Rejected,
  AnswerBegun,
  /// The response is complete, and the connection may carry another request.
  AnswerEnded,
  /// The response is complete, and has announced the end of the connection.
  AnswerEndedClosing,
  /// Nothing arrived for too long.
  IdleTimeout,
  /// The client has closed or reset the connection, or is gone.
  PeerEnded,
  /// The connection is reset from this side.
  Aborted,
};

constexpr NameTable<ConnectionEvent, 9> kConnectionEventNames = {{
  {ConnectionEvent::HeadComplete, "head complete"},
  {ConnectionEvent::MessageComplete, "message complete"},
  {ConnectionEvent::Rejected, "rejected"},
  {ConnectionEvent::AnswerBegun, "answer begun"},
  {ConnectionEvent::AnswerEnded, "answer ended"},
  {ConnectionEvent::AnswerEndedClosing, "answer ended, closing"},
  {ConnectionEvent::IdleTimeout, "idle timeout"},
  {ConnectionEvent::PeerEnded, "peer ended"},
  {ConnectionEvent::Aborted, "aborted"},
}};

struct ConnectionTransition {
  ConnectionState m_from;
  ConnectionEvent m_event;
  ConnectionState m_to;
};

constexpr std::array<ConnectionTransition, 20> kConnectionTransitions = {{
  {ConnectionState::ReadingHead, ConnectionEvent::HeadComplete, ConnectionState::ReadingBody},
  {ConnectionState::ReadingHead, ConnectionEvent::Rejected, ConnectionState::Lingering},
  {ConnectionState::ReadingHead, ConnectionEvent::IdleTimeout, ConnectionState::Lingering},
  {ConnectionState::ReadingHead, ConnectionEvent::PeerEnded, ConnectionState::Ended},
  {ConnectionState::ReadingHead, ConnectionEvent::Aborted, ConnectionState::Ended},
  {ConnectionState::ReadingBody, ConnectionEvent::MessageComplete, ConnectionState::InProgress},
  {ConnectionState::ReadingBody, ConnectionEvent::Rejected, ConnectionState::Lingering},
  {ConnectionState::ReadingBody, ConnectionEvent::PeerEnded, ConnectionState::Ended},
  {ConnectionState::ReadingBody, ConnectionEvent::Aborted, ConnectionState::Ended},
  {ConnectionState::InProgress, ConnectionEvent::AnswerBegun, ConnectionState::Answering},
  {ConnectionState::InProgress, ConnectionEvent::AnswerEnded, ConnectionState::ReadingHead},
  {ConnectionState::InProgress, ConnectionEvent::AnswerEndedClosing, ConnectionState::Lingering},
  {ConnectionState::InProgress, ConnectionEvent::PeerEnded, ConnectionState::Ended},
  {ConnectionState::InProgress, ConnectionEvent::Aborted, ConnectionState::Ended},
  {ConnectionState::Answering, ConnectionEvent::AnswerEnded, ConnectionState::ReadingHead},
  {ConnectionState::Answering, ConnectionEvent::AnswerEndedClosing, ConnectionState::Lingering},
  {ConnectionState::Answering, ConnectionEvent::PeerEnded, ConnectionState::Ended},
  {ConnectionState::Answering, ConnectionEvent::Aborted, ConnectionState::Ended},
  {ConnectionState::Lingering, ConnectionEvent::PeerEnded, ConnectionState::Ended},
  {ConnectionState::Lingering, ConnectionEvent::Aborted, ConnectionState::Ended},
}};

/// Returns the state that follows, or none if the event does not apply in this state.
constexpr std::optional<ConnectionState> NextState(ConnectionState aState, ConnectionEvent aEvent) {
  for (const ConnectionTransition& row : kConnectionTransitions) {
    if (row.m_from == aState && row.m_event == aEvent) {
      return row.m_to;
    }
  }
  return std::nullopt;
}

/// Whether bytes that arrive belong to a request that may still be taken.
constexpr bool IsReading(ConnectionState aState) {
  return aState == ConnectionState::ReadingHead || aState == ConnectionState::ReadingBody;
}

/// Whether a request has been taken and its response is not complete.
constexpr bool IsBusy(ConnectionState aState) {
  return aState == ConnectionState::InProgress || aState == ConnectionState::Answering;
}

} // namespace fennelline
