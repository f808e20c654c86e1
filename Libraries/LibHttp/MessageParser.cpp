#include "LibHttp/MessageParser.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace fennelline {

namespace {

constexpr int kSkipBody = 1;
constexpr int kStopParsing = -1;
constexpr int kSwitchingProtocols = 101;
constexpr int kFirstFinalStatus = 200;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

/// Length of "HTTP/1.1 200 ".
constexpr std::size_t kStatusLineBytes = 13;

constexpr std::string_view kTokenPunctuation = "!#$%&'*+-.^_`|~";

bool IsToken(std::string_view aText) {
  return !aText.empty() && std::all_of(aText.begin(), aText.end(), [](char aCharacter) {
    return std::isalnum(static_cast<unsigned char>(aCharacter)) != 0 ||
           kTokenPunctuation.find(aCharacter) != std::string_view::npos;
  });
}

bool HasControlCharacter(std::string_view aText) {
  constexpr unsigned char kFirstPrintable = 0x20;
  constexpr unsigned char kDelete = 0x7f;
  return std::any_of(aText.begin(), aText.end(), [](char aCharacter) {
    const unsigned char code = static_cast<unsigned char>(aCharacter);
    return (code < kFirstPrintable && aCharacter != '\t') || code == kDelete;
  });
}

bool IsDigit(char aCharacter) {
  return aCharacter >= '0' && aCharacter <= '9';
}

/// Whether the bytes begin the status line of a response in HTTP/1. http_parser also accepts other
/// versions, further spaces and numbers of another length.
bool IsStatusLine(std::string_view aStart) {
  constexpr std::string_view kVersion = "HTTP/1.";
  constexpr std::size_t kSpace = 8;
  constexpr std::size_t kStatus = 9;
  return aStart.size() == kStatusLineBytes && aStart.starts_with(kVersion) &&
         aStart[kSpace] == ' ' && IsDigit(aStart[kStatus]) && !IsDigit(aStart.back());
}

/// Whether a response may have the status. No request asks for another protocol.
bool IsStatus(int aStatus) {
  constexpr int kFirst = 100;
  constexpr int kLast = 599;
  return aStatus >= kFirst && aStatus <= kLast && aStatus != kSwitchingProtocols;
}

bool AreWellFormed(const HeaderList& aHeaders) {
  return std::all_of(aHeaders.Rows().begin(), aHeaders.Rows().end(), [](const Header& aHeader) {
    return IsToken(aHeader.m_name) && !HasControlCharacter(aHeader.m_value);
  });
}

} // namespace

MessageParser::MessageParser(MessageKind aKind)
  : m_kind(aKind) {
  Reset();
}

void MessageParser::Reset() {
  http_parser_init(&m_parser, m_kind == MessageKind::Request ? HTTP_REQUEST : HTTP_RESPONSE);
  m_parser.data = this;
  m_head = {};
  m_statusLine.clear();
  m_body.clear();
  m_headBytes = 0;
  m_noBody = false;
  m_started = false;
  m_hasHead = false;
  m_complete = false;
  m_lastWasValue = true;
}

MessageParser& MessageParser::Self(http_parser* aParser) {
  return *static_cast<MessageParser*>(aParser->data);
}

const http_parser_settings& MessageParser::Callbacks() {
  static const http_parser_settings settings = [] {
    http_parser_settings callbacks;
    http_parser_settings_init(&callbacks);
    callbacks.on_message_begin = [](http_parser* aParser) {
      Self(aParser).m_started = true;
      return 0;
    };
    callbacks.on_url = [](http_parser* aParser, const char* aText, std::size_t aLength) {
      Self(aParser).m_head.m_target.append(aText, aLength);
      return 0;
    };
    callbacks.on_header_field = [](http_parser* aParser, const char* aText, std::size_t aLength) {
      MessageParser& self = Self(aParser);
      // Ignore trailers: they apply to this connection only.
      if (self.m_hasHead) {
        return 0;
      }
      if (std::exchange(self.m_lastWasValue, false)) {
        self.m_head.m_headers.Add({}, {});
      }
      self.m_head.m_headers.Rows().back().m_name.append(aText, aLength);
      return 0;
    };
    callbacks.on_header_value = [](http_parser* aParser, const char* aText, std::size_t aLength) {
      MessageParser& self = Self(aParser);
      if (self.m_hasHead) {
        return 0;
      }
      self.m_lastWasValue = true;
      self.m_head.m_headers.Rows().back().m_value.append(aText, aLength);
      return 0;
    };
    callbacks.on_headers_complete = [](http_parser* aParser) {
      // Execute() counts the bytes up to here.
      http_parser_pause(aParser, 1);
      return Self(aParser).OnHeadersComplete();
    };
    callbacks.on_body = [](http_parser* aParser, const char* aText, std::size_t aLength) {
      Self(aParser).m_body.append(aText, aLength);
      return 0;
    };
    callbacks.on_message_complete = [](http_parser* aParser) {
      Self(aParser).m_complete = true;
      // The bytes that follow belong to the next message.
      http_parser_pause(aParser, 1);
      return 0;
    };
    return callbacks;
  }();
  return settings;
}

int MessageParser::OnHeadersComplete() {
  // http_parser accepts some header names that other implementations interpret differently.
  if (!AreWellFormed(m_head.m_headers)) {
    return kStopParsing;
  }
  const bool isResponse = m_kind == MessageKind::Response;
  const int status = static_cast<int>(m_parser.status_code);
  if (isResponse && (!IsStatusLine(m_statusLine) || !IsStatus(status))) {
    return kStopParsing;
  }
  m_hasHead = true;
  // Protocol upgrades are not supported, so the following bytes are an ordinary body.
  m_parser.upgrade = 0;
  m_head.m_majorVersion = m_parser.http_major;
  m_head.m_minorVersion = m_parser.http_minor;
  m_head.m_keepAlive = http_should_keep_alive(&m_parser) != 0;
  if (!isResponse) {
    m_head.m_method = http_method_str(static_cast<http_method>(m_parser.method));
    return 0;
  }
  m_head.m_status = status;
  const bool isInterim = m_head.m_status < kFirstFinalStatus;
  const bool hasBody =
    !m_noBody && !isInterim && m_head.m_status != kNoContent && m_head.m_status != kNotModified;
  const bool hasLength = (m_parser.flags & (F_CHUNKED | F_CONTENTLENGTH)) != 0;
  m_head.m_bodyEndsAtClose = hasBody && !hasLength;
  return hasBody ? 0 : kSkipBody;
}

void MessageParser::KeepStatusLine(std::string_view aBytes) {
  for (const char byte : aBytes) {
    if (m_statusLine.size() == kStatusLineBytes) {
      return;
    }
    // Empty lines before a message are ignored.
    if (!m_statusLine.empty() || (byte != '\r' && byte != '\n')) {
      m_statusLine += byte;
    }
  }
}

std::size_t MessageParser::Execute(std::string_view aBytes) {
  const bool hadHead = m_hasHead;
  const std::size_t taken =
    http_parser_execute(&m_parser, &Callbacks(), aBytes.data(), aBytes.size());
  if (hadHead) {
    return taken;
  }
  m_headBytes += taken;
  if (!m_hasHead || HTTP_PARSER_ERRNO(&m_parser) != HPE_PAUSED) {
    return taken;
  }
  // The last byte of the head is parsed again.
  ++m_headBytes;
  http_parser_pause(&m_parser, 0);
  return taken +
         http_parser_execute(&m_parser, &Callbacks(), aBytes.data() + taken, aBytes.size() - taken);
}

Result<std::size_t> MessageParser::Feed(std::string_view aBytes) {
  if (m_complete || aBytes.empty()) {
    return std::size_t{0};
  }
  if (m_kind == MessageKind::Response) {
    KeepStatusLine(aBytes);
  }
  const std::size_t taken = Execute(aBytes);
  const http_errno problem = HTTP_PARSER_ERRNO(&m_parser);
  if (problem == HPE_OK || (problem == HPE_PAUSED && m_complete)) {
    return taken;
  }
  const ErrorCode code =
    problem == HPE_HEADER_OVERFLOW ? ErrorCode::LimitExceeded : ErrorCode::InvalidMessage;
  return MakeError(code, http_errno_description(problem));
}

bool MessageParser::FinishAtClose() {
  if (!m_complete && m_hasHead) {
    http_parser_execute(&m_parser, &Callbacks(), nullptr, 0);
  }
  return m_complete;
}

} // namespace fennelline
