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

/// The start line and headers of an HTTP/1.1 message.
struct MessageHead {
  /// Requests only.
  std::string m_method;
  std::string m_target;
  /// Responses only.
  int m_status = 0;
  HeaderList m_headers;
  /// Always 1 in responses, as others are errors.
  int m_majorVersion = 1;
  int m_minorVersion = 1;
  /// Whether the connection may carry another message after this one.
  bool m_keepAlive = true;
  /// Whether the body has no explicit length, so that it extends to the end of the connection.
  /// Responses only.
  bool m_bodyEndsAtClose = false;
};

enum class MessageKind : std::uint8_t { Request, Response };

/// A strict incremental parser for HTTP/1.1 messages: conflicting lengths, malformed chunks and
/// unknown transfer codings are errors.
class MessageParser {
public:
  explicit MessageParser(MessageKind aKind);
  MessageParser(const MessageParser&) = delete;
  MessageParser& operator=(const MessageParser&) = delete;

  /// Parses bytes up to the end of the current message and returns the number consumed.
  Result<std::size_t> Feed(std::string_view aBytes);
  /// Signals an orderly end of the connection. Returns whether the message is complete.
  bool FinishAtClose();
  /// Prepares for the next message.
  void Reset();
  /// Marks the next response as a reply to a HEAD request, which has no body regardless of its
  /// headers.
  void ExpectNoBody() { m_noBody = true; }

  bool HasStarted() const { return m_started; }
  bool HasHead() const { return m_hasHead; }
  bool IsComplete() const { return m_complete; }
  const MessageHead& Head() const { return m_head; }
  MessageHead& Head() { return m_head; }
  /// Returns the body bytes parsed since the last call.
  std::string TakeBody() { return std::exchange(m_body, {}); }
  /// Allocates memory for a body of a known length.
  void ReserveBody(std::size_t aBytes) { m_body.reserve(aBytes); }
  std::size_t BodySize() const { return m_body.size(); }
  /// Bytes of the start line and headers so far, with the empty lines around them.
  std::size_t HeadBytes() const { return m_headBytes; }

private:
  static const http_parser_settings& Callbacks();
  static MessageParser& Self(http_parser* aParser);
  int OnHeadersComplete();
  std::size_t Execute(std::string_view aBytes);
  void KeepStatusLine(std::string_view aBytes);

  MessageKind m_kind;
  http_parser m_parser{};
  MessageHead m_head;
  /// The first bytes of a response, up to the one that follows its status.
  std::string m_statusLine;
  std::string m_body;
  std::size_t m_headBytes = 0;
  bool m_noBody = false;
  bool m_started = false;
  bool m_hasHead = false;
  bool m_complete = false;
  bool m_lastWasValue = true;
};

} // namespace fennelline
