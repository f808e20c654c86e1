#pragma once

#include "LibBase/Error.h"
#include "LibHttp/HeaderList.h"

#include <cstddef>
#include <cstdint>
#include <http_parser.h>
#include <string>
#include <string_view>
#include <utility>

namespace fennelline {

/// What stands before the body of an HTTP/1.1 message.
struct MessageHead {
  /// Requests only.
  std::string m_method;
  std::string m_target;
  /// Responses only.
  int m_status = 0;
  HeaderList m_headers;
  /// The minor version of HTTP/1.
  int m_minorVersion = 1;
  /// The connection may serve another message after this one.
  bool m_keepAlive = true;
  /// A response whose body ends with its connection.
  bool m_endsWithConnection = false;
};

enum class MessageKind : std::uint8_t { Request, Response };

/// Reads one HTTP/1.1 message at a time, strictly: a message with two lengths, a malformed chunk or
/// an unknown transfer coding is an error.
class MessageParser {
public:
  explicit MessageParser(MessageKind aKind);
  MessageParser(const MessageParser&) = delete;
  MessageParser& operator=(const MessageParser&) = delete;

  /// Reads bytes up to the end of the message at most and returns how many it took.
  Result<std::size_t> Feed(std::string_view aBytes);
  /// The connection has ended in order. True where that completes the message.
  bool FinishAtEnd();
  /// Starts the next message.
  void Reset();
  /// The next response answers a HEAD request: it has no body whatever its headers say.
  void ExpectNoBody() { m_noBody = true; }

  bool HasStarted() const { return m_started; }
  bool HasHead() const { return m_hasHead; }
  bool IsComplete() const { return m_complete; }
  const MessageHead& Head() const { return m_head; }
  MessageHead& Head() { return m_head; }
  /// Body bytes read since the last call.
  std::string TakeBody() { return std::exchange(m_body, {}); }
  std::size_t BodySize() const { return m_body.size(); }

private:
  static const http_parser_settings& Callbacks();
  static MessageParser& Self(http_parser* aParser);
  int OnHeadersComplete();

  MessageKind m_kind;
  http_parser m_parser{};
  MessageHead m_head;
  std::string m_body;
  bool m_noBody = false;
  bool m_started = false;
  bool m_hasHead = false;
  bool m_complete = false;
  bool m_lastWasValue = true;
};

} // namespace fennelline
