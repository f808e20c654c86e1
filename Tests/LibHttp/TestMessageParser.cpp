#include "LibHttp/MessageParser.h"
#include "LibHttp/MessageWriter.h"

#include "LibBase/Random.h"

#include <doctest/doctest.h>

using namespace fennelline;

namespace {

struct Parsed {
  bool m_isError = false;
  std::size_t m_taken = 0;
  std::string m_body;
  bool m_isComplete = false;
};

Parsed FeedAll(MessageParser& aParser, std::string_view aText, std::size_t aStep) {
  Parsed parsed;
  while (parsed.m_taken < aText.size() && !aParser.IsComplete()) {
    const Result<std::size_t> taken = aParser.Feed(aText.substr(parsed.m_taken, aStep));
    if (taken.IsError()) {
      parsed.m_isError = true;
      return parsed;
    }
    parsed.m_taken += taken.Get();
    parsed.m_body += aParser.TakeBody();
  }
  parsed.m_isComplete = aParser.IsComplete();
  return parsed;
}

} // namespace

TEST_CASE("a message ends at its declared length, however its bytes are split") {
  const std::string one = "POST /a?b HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello";
  const std::string chunked = "POST /c HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: "
                              "chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n";
  for (std::size_t step = 1; step < 80; ++step) {
    for (const std::string& message : {one, chunked}) {
      MessageParser parser(MessageKind::Request);
      const Parsed parsed = FeedAll(parser, message + "GET /next HTTP/1.1\r\n", step);
      CHECK(parsed.m_isComplete);
      CHECK(parsed.m_taken == message.size());
      CHECK(parsed.m_body == "hello");
    }
  }
}

TEST_CASE("requests with ambiguous framing are errors") {
  for (const char* headers :
       {"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 5\r\nContent-Length: 6\r\n", "Content-Length: +5\r\n",
        "Content-Length: 5x\r\n", "Content-Length : 5\r\n"}) {
    MessageParser parser(MessageKind::Request);
    const std::string text = "POST /a HTTP/1.1\r\nHost: x\r\n" + std::string(headers) +
                             "\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\n\r\n";
    CHECK_MESSAGE(FeedAll(parser, text, 1000).m_isError, headers);
  }
}

TEST_CASE("a response without a length is complete only when its connection is closed") {
  MessageParser parser(MessageKind::Response);
  const Parsed parsed = FeedAll(parser, "HTTP/1.1 200 OK\r\n\r\nsome", 7);
  CHECK(!parsed.m_isComplete);
  CHECK(parser.Head().m_bodyEndsAtClose);
  CHECK(parser.FinishAtClose());
  MessageParser cut(MessageKind::Response);
  FeedAll(cut, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nsome", 7);
  CHECK(!cut.FinishAtClose());
}

// Guards against numbers that reach callers as statuses, and against waiting for the answer behind
// one that is taken for an interim response.
TEST_CASE("a response with a status line that is none of HTTP/1 is an error") {
  for (const char* line :
       {"HTTP/1.1 000 OK", "HTTP/1.1 001 OK", "HTTP/1.1 099 OK", "HTTP/1.1 20 OK", "HTTP/1.1 2 OK",
        "HTTP/1.1 0200 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK",
        "HTTP/1.1  200 OK", "HTTP/1.1 101 Switching Protocols", "HTTP/2.0 200 OK",
        "HTTP/0.9 200 OK", "HTTP/9.9 200 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1 -20 OK"}) {
    for (const char* rest : {"\r\n\r\n", "\r\nContent-Length: 2\r\n\r\nhi",
                             "\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"}) {
      for (const std::size_t step : {1UL, 7UL, 1000UL}) {
        MessageParser parser(MessageKind::Response);
        CHECK_MESSAGE(FeedAll(parser, std::string(line) + rest, step).m_isError, std::string(line));
      }
    }
  }
  for (const char* line : {"HTTP/1.1 200 OK", "HTTP/1.1 200", "HTTP/1.0 599 Own", "HTTP/1.7 404 ",
                           "\r\nHTTP/1.1 200 OK"}) {
    for (const std::size_t step : {1UL, 7UL, 1000UL}) {
      MessageParser parser(MessageKind::Response);
      const std::string text = std::string(line) + "\r\nContent-Length: 2\r\n\r\nhi";
      CHECK_MESSAGE(FeedAll(parser, text, step).m_isComplete, line);
    }
  }
}

TEST_CASE("a response with a status that has no body ends with its headers") {
  for (const char* line :
       {"HTTP/1.1 100 Continue", "HTTP/1.1 103 Early", "HTTP/1.1 204 None", "HTTP/1.1 304 Same"}) {
    for (const char* framing : {"Content-Length: 2\r\n", "Transfer-Encoding: chunked\r\n", ""}) {
      MessageParser parser(MessageKind::Response);
      const std::string head = std::string(line) + "\r\n" + framing + "\r\n";
      const Parsed parsed = FeedAll(parser, head + "2\r\nhi\r\n", 1000);
      CHECK_MESSAGE(parsed.m_isComplete, head);
      CHECK(parsed.m_taken == head.size());
      CHECK(parsed.m_body.empty());
    }
  }
}

TEST_CASE("a response to a HEAD request has no body") {
  MessageParser parser(MessageKind::Response);
  parser.ExpectNoBody();
  CHECK(FeedAll(parser, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n", 9).m_isComplete);
}

TEST_CASE("corrupted input does not crash the parser or make it read past the end") {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    Random random(seed);
    std::string text = "GET /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc";
    for (int change = 0; change < 3; ++change) {
      text[random.Below(text.size())] = static_cast<char>(random.Below(256));
    }
    MessageParser parser(MessageKind::Request);
    const Parsed parsed = FeedAll(parser, text, 1 + random.Below(20));
    CHECK(parsed.m_taken <= text.size());
  }
}

TEST_CASE("an empty part does not end a chunked body") {
  std::string text;
  AppendChunk(text, "");
  CHECK(text.empty());
  AppendChunk(text, "0123456789abcdefg");
  CHECK(text == "11\r\n0123456789abcdefg\r\n");
}

TEST_CASE("hop-by-hop headers are the standard ones and those listed in Connection") {
  HeaderList headers;
  headers.Add("Connection", "close, X-Mine");
  CHECK(IsHopByHop(headers, "x-mine"));
  CHECK(IsHopByHop(headers, "Transfer-Encoding"));
  CHECK(!IsHopByHop(headers, "X-Other"));
}
