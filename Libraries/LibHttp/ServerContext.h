#pragma once

#include "LibBase/Time.h"
#include "LibHttp/BodyBudget.h"
#include "LibHttp/MessageParser.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace fennelline {

/// Size limits and timeouts for client connections.
struct ServerLimits {
  std::size_t m_headerBytes = 16UL * 1024;
  std::size_t m_bodyBytes = 4UL * 1024 * 1024;
  /// From the first byte of a request to the end of its headers.
  Duration m_headerTime = Seconds(3);
  /// From the end of a response to the start of the next request.
  Duration m_idleTime = Seconds(15);
};

/// A complete request received from a client.
struct IncomingRequest {
  MessageHead m_head;
  std::string m_body;
  /// When the first byte of the request was read.
  Time m_arrived{};
};

class ServerConnection;

/// State shared by all connections of a server.
struct ServerContext {
  std::function<void(const std::shared_ptr<ServerConnection>&, IncomingRequest)> m_onRequest;
  /// Called with status and reason when a request is rejected before m_onRequest.
  std::function<void(int, std::string_view)> m_onRejected;
  /// Adds headers to the rejection of a request that may come again later.
  std::function<void(HeaderList&)> m_onRejectedForNow;
  ServerLimits m_limits;
  /// A body counts with the length that its request announces, or with what has arrived of it,
  /// until its response has been sent.
  std::shared_ptr<BodyBudget> m_bodies = std::make_shared<BodyBudget>();
  /// Set while the server shuts down: every response closes its connection.
  bool m_closing = false;
};

} // namespace fennelline
