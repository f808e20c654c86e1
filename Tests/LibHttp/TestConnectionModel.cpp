// Compares connections with models: what must come of a sequence of messages, however they are
// split.

#include "LibBase/Random.h"
#include "LibHttp/ConnectionPool.h"
#include "Tests/LibHttp/LoopbackServer.h"

#include <deque>
#include <doctest/doctest.h>
#include <memory>
#include <sys/ioctl.h>
#include <vector>

using namespace fennelline;

namespace {

constexpr std::uint64_t kSeeds = 400;

/// A message of a client, and what the model expects of it.
struct Message {
  std::string m_text;
  /// Status of the response.
  int m_status = 200;
  /// Target that the server takes; empty if it takes none.
  std::string m_target;
  bool m_closes = false;
};

Message DrawMessage(Random& aRandom, int aNumber) {
  const std::string target = "/" + std::to_string(aNumber);
  const std::string host = "Host: x\r\n";
  switch (aRandom.Below(12)) {
    case 0:
      return {"GET " + target + " HTTP/1.1\r\n" + host + "Connection: close\r\n\r\n", 200, target,
              true};
    case 1:
      return {"GET " + target + " HTTP/1.0\r\n" + host + "\r\n", 200, target, true};
    case 2:
      return {"GET " + target + " HTTP/1.1\r\n\r\n", 400, "", true};
    case 3:
      return {"POST " + target + " HTTP/1.1\r\n" + host +
                "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
              400, "", true};
    case 4:
      return {"GET " + target + " HTTP/2.0\r\n" + host + "\r\n", 505, "", true};
    case 5:
      return {"nonsense\r\n\r\n", 400, "", true};
    case 6:
    case 7:
      return {"POST " + target + " HTTP/1.1\r\n" + host + "Content-Length: 4\r\n\r\nbody", 200,
              target, false};
    case 8:
    case 9:
      return {"POST " + target + " HTTP/1.1\r\n" + host +
                "Transfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n",
              200, target, false};
    default:
      return {"GET " + target + " HTTP/1.1\r\n" + host + "\r\n", 200, target, false};
  }
}

/// A server that answers each request in one of several ways, at once or later.
class VaryingServer {
public:
  explicit VaryingServer(Random& aRandom)
    : m_random(aRandom) {
    REQUIRE(!m_loop.Open().IsError());
    m_context->m_onRequest = [this](const std::shared_ptr<ServerConnection>& aConnection,
                                    const IncomingRequest& aRequest) {
      m_targets.push_back(aRequest.m_head.m_target);
      OnRequest(aConnection, aRequest.m_head.m_target);
    };
    m_server = std::make_unique<HttpServer>(m_loop, m_context, 100);
    REQUIRE(!m_server->Listen("127.0.0.1:0").IsError());
    m_address = "127.0.0.1:" + std::to_string(m_server->Port());
  }

  EventLoop m_loop;
  std::string m_address;
  std::shared_ptr<ServerContext> m_context = std::make_shared<ServerContext>();
  std::unique_ptr<HttpServer> m_server;
  std::vector<std::string> m_targets;

private:
  void OnRequest(const std::shared_ptr<ServerConnection>& aConnection, const std::string& aTarget) {
    const bool isStream = m_random.Below(2) == 0;
    const auto respond = [aConnection, aTarget, isStream] {
      if (!isStream) {
        aConnection->SendResponse({.m_status = 200, .m_headers = {}}, aTarget);
      } else {
        aConnection->BeginResponse({.m_status = 200, .m_headers = {}});
        aConnection->SendBodyPart(aTarget);
        aConnection->EndResponse();
      }
      // Has no effect: the response is complete.
      aConnection->SendBodyPart("late");
      aConnection->SendResponse({.m_status = 500, .m_headers = {}}, "late");
    };
    if (m_random.Below(2) == 0) {
      respond();
    } else {
      m_loop.After(Milliseconds(static_cast<int>(m_random.Below(3))), respond);
    }
  }

  Random& m_random;
};

/// The responses in a text, each as status and body; a body until the end of the text for one
/// without a framing.
std::vector<std::pair<int, std::string>> ParseResponses(const std::string& aText) {
  std::vector<std::pair<int, std::string>> responses;
  std::string_view rest = aText;
  while (!rest.empty()) {
    MessageParser parser(MessageKind::Response);
    const Result<std::size_t> taken = parser.Feed(rest);
    if (taken.IsError()) {
      responses.emplace_back(-1, std::string(rest));
      return responses;
    }
    rest.remove_prefix(taken.Get());
    responses.emplace_back(parser.Head().m_status, parser.TakeBody());
  }
  return responses;
}

/// Sends a text in random parts, with turns of the loop between them.
template<typename Send>
void SendInParts(Random& aRandom, EventLoop& aLoop, const std::string& aText, Send aSend) {
  const bool isWhole = aRandom.Below(3) == 0;
  std::size_t sent = 0;
  while (sent < aText.size()) {
    const std::size_t most = aText.size() - sent;
    const std::size_t part = isWhole ? most : 1 + aRandom.Below(std::min<std::size_t>(most, 40));
    aSend(aText.substr(sent, part));
    sent += part;
    if (aRandom.Below(3) == 0) {
      aLoop.RunOnce(Milliseconds(1));
    }
  }
}

void CheckServer(std::uint64_t aSeed) {
  Random random(aSeed);
  std::string text;
  std::vector<std::pair<int, std::string>> expected;
  std::vector<std::string> targets;
  bool closes = false;
  const int count = 1 + static_cast<int>(random.Below(5));
  for (int number = 0; number < count; ++number) {
    const Message message = DrawMessage(random, number);
    text += message.m_text;
    if (closes) {
      continue;
    }
    expected.emplace_back(message.m_status, message.m_target);
    if (!message.m_target.empty()) {
      targets.push_back(message.m_target);
    }
    closes = message.m_closes;
  }
  VaryingServer server(random);
  RawClient client(server.m_address);
  std::string received;
  SendInParts(random, server.m_loop, text, [&](const std::string& aPart) { client.Send(aPart); });
  REQUIRE(RunUntil(
    server.m_loop,
    [&] {
      received += client.Receive();
      return closes ? client.IsClosed() || client.IsReset()
                    : ParseResponses(received).size() >= expected.size();
    },
    Seconds(3)));
  // Nothing follows what was expected.
  for (int turn = 0; turn < 5; ++turn) {
    server.m_loop.RunOnce(Milliseconds(1));
    received += client.Receive();
  }
  CHECK(ParseResponses(received) == expected);
  CHECK(server.m_targets == targets);
  CHECK(server.m_context->m_bodies->m_usedBytes == 0);
}

enum class BodyFraming : std::uint8_t { Length, Chunks, UntilClose };
enum class End : std::uint8_t { None, Orderly, Reset };

/// What a server sends for one call, and what the model expects of it.
struct Script {
  std::string m_text;
  std::size_t m_headEnd = 0;
  std::size_t m_wholeEnd = 0;
  BodyFraming m_framing = BodyFraming::Length;
  End m_end = End::None;
  bool m_hasOthers = false;
  bool m_hasMore = false;
};

Script DrawScript(Random& aRandom) {
  Script script;
  for (std::uint64_t count = aRandom.Below(3); count > 0; --count) {
    if (aRandom.Below(2) == 0) {
      script.m_text += "HTTP/1.1 103 Early Hints\r\nContent-Length: 3\r\n\r\n";
    } else {
      script.m_text += "HTTP/1.1 200 OK\r\nid: other\r\nContent-Length: 5\r\n\r\nother";
      script.m_hasOthers = true;
    }
  }
  script.m_framing = static_cast<BodyFraming>(aRandom.Below(3));
  const std::string head = "HTTP/1.1 200 OK\r\nid: mine\r\n";
  if (script.m_framing == BodyFraming::Length) {
    script.m_text += head + "Content-Length: 4\r\n\r\n";
    script.m_headEnd = script.m_text.size();
    script.m_text += "mine";
  } else if (script.m_framing == BodyFraming::Chunks) {
    script.m_text += head + "Transfer-Encoding: chunked\r\n\r\n";
    script.m_headEnd = script.m_text.size();
    script.m_text += "2\r\nmi\r\n2\r\nne\r\n0\r\n\r\n";
  } else {
    script.m_text += head + "\r\n";
    script.m_headEnd = script.m_text.size();
    script.m_text += "mine";
  }
  script.m_wholeEnd = script.m_text.size();
  script.m_end = static_cast<End>(aRandom.Below(3));
  if (aRandom.Below(4) == 0 && script.m_framing != BodyFraming::UntilClose) {
    script.m_text += "HTTP/1.1 200 OK\r\n\r\n";
    script.m_hasMore = true;
  }
  if (aRandom.Below(2) == 0) {
    script.m_text.resize(aRandom.Below(script.m_text.size() + 1));
  }
  return script;
}

void CheckClient(std::uint64_t aSeed) {
  Random random(aSeed);
  const Script script = DrawScript(random);
  EventLoop loop;
  REQUIRE(!loop.Open().IsError());
  const FileDescriptor listener = ListenStream("127.0.0.1", 0).Take();
  ConnectionPool pool(loop, {.m_address = "127.0.0.1:" + std::to_string(LocalPort(listener))});
  const std::shared_ptr<ClientConnection> connection = pool.Acquire(false).Take();
  std::string body;
  bool isComplete = false;
  std::optional<CallFailure> failure;
  CallListener calls;
  calls.m_onHead = [](const MessageHead& aHead) {
    const std::string* id = aHead.m_headers.Find("id");
    return id != nullptr && *id == "mine" ? HeadAction::Accept : HeadAction::Skip;
  };
  calls.m_onBody = [&](const std::string& aPart) { body += aPart; };
  calls.m_onComplete = [&] { isComplete = true; };
  calls.m_onFailed = [&](CallFailure aFailure) { failure = aFailure; };
  connection->Send("GET / HTTP/1.1\r\nHost: x\r\n\r\n", false, std::move(calls));
  FileDescriptor accepted;
  REQUIRE(RunUntil(loop, [&] {
    accepted = AcceptStream(listener);
    return accepted.IsOpen();
  }));
  // A reset that finds the request unread would overtake what was sent before.
  REQUIRE(RunUntil(loop, [&] {
    std::array<char, 100> request;
    return ::recv(accepted.Number(), request.data(), request.size(), MSG_DONTWAIT) > 0;
  }));
  SendInParts(random, loop, script.m_text, [&](const std::string& aPart) {
    ::send(accepted.Number(), aPart.data(), aPart.size(), MSG_NOSIGNAL);
  });
  for (int turn = 0; turn < 5; ++turn) {
    loop.RunOnce(Milliseconds(1));
  }
  if (script.m_end == End::Reset) {
    const linger resetOnClose{.l_onoff = 1, .l_linger = 0};
    setsockopt(accepted.Number(), SOL_SOCKET, SO_LINGER, &resetOnClose, sizeof(resetOnClose));
  }
  if (script.m_end != End::None) {
    accepted.Close();
  }
  for (int turn = 0; turn < 10; ++turn) {
    loop.RunOnce(Milliseconds(1));
  }
  const std::size_t sent = script.m_text.size();
  const bool isFramed = script.m_framing != BodyFraming::UntilClose;
  const bool isWhole =
    isFramed ? sent >= script.m_wholeEnd : sent >= script.m_headEnd && script.m_end == End::Orderly;
  CHECK(isComplete == isWhole);
  if (isWhole) {
    CHECK(body == (isFramed ? "mine" : script.m_text.substr(script.m_headEnd)));
    CHECK(!failure);
  } else if (script.m_end == End::None) {
    CHECK(!failure);
  } else {
    REQUIRE(failure);
    CHECK(*failure == (sent == 0 ? CallFailure::NoResponse : CallFailure::TruncatedResponse));
  }
  const bool hasMore = script.m_hasMore && sent > script.m_wholeEnd;
  if (isWhole && isFramed && script.m_end == End::None && !hasMore) {
    CHECK(connection->IsReusable() == !script.m_hasOthers);
  } else {
    CHECK(!connection->IsReusable());
  }
}

} // namespace

TEST_CASE("a client's connection does what the model says") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    CheckServer(seed);
  }
}

TEST_CASE("a connection to a server does what the model says") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    CheckClient(seed);
  }
}
