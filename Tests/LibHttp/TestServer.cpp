#include "Tests/LibHttp/LoopbackServer.h"

#include <deque>
#include <doctest/doctest.h>
#include <memory>
#include <vector>

using namespace fennelline;

namespace {

/// A server that answers each request at once with its target.
struct EchoServer {
  EchoServer() {
    REQUIRE(!m_loop.Open().IsError());
    m_context->m_onRequest = [this](const std::shared_ptr<ServerConnection>& aChannel,
                                    const IncomingRequest& aRequest) {
      m_targets.push_back(aRequest.m_head.m_target);
      if (m_holds) {
        m_held = aChannel;
        return;
      }
      aChannel->SendResponse({.m_status = 200, .m_headers = {}}, aRequest.m_head.m_target);
    };
    m_server = std::make_unique<HttpServer>(m_loop, m_context, 3000);
    REQUIRE(!m_server->Listen("127.0.0.1:0").IsError());
    m_address = "127.0.0.1:" + std::to_string(m_server->Port());
  }

  std::string Ask(std::string_view aRequest) {
    RawCaller caller(m_address);
    caller.Send(aRequest);
    std::string answer;
    RunUntil(m_loop, [&] {
      answer += caller.Receive();
      return caller.IsClosed() || answer.find("\r\n\r\n") != std::string::npos;
    });
    return answer;
  }

  EventLoop m_loop;
  std::string m_address;
  std::shared_ptr<ServerContext> m_context = std::make_shared<ServerContext>();
  std::unique_ptr<HttpServer> m_server;
  std::vector<std::string> m_targets;
  std::shared_ptr<ServerConnection> m_held;
  bool m_holds = false;
};

constexpr const char* kTwoLengths = "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n"
                                    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n";

} // namespace

TEST_CASE("malformed and smuggled requests get 400 and a closed channel, and run nothing") {
  for (const char* request :
       {"GET /a HTTP/1.1\r\n\r\n", "GET /a HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n",
        "GET http://x/a HTTP/1.1\r\nHost: x\r\n\r\n", kTwoLengths,
        "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length : 4\r\n\r\nbody", "nonsense\r\n\r\n"}) {
    EchoServer server;
    const std::string answer = server.Ask(request);
    CHECK_MESSAGE(answer.starts_with("HTTP/1.1 400"), request);
    CHECK(answer.find("Connection: close") != std::string::npos);
    CHECK(server.m_targets.empty());
  }
}

TEST_CASE("over-long headers get 431, over-long bodies 413") {
  EchoServer server;
  server.m_context->m_limits.m_headerBytes = 1000;
  server.m_context->m_limits.m_bodyBytes = 100;
  const std::string filler(2000, 'x');
  CHECK(server.Ask("GET /a HTTP/1.1\r\nHost: x\r\nX-Long: " + filler + "\r\n\r\n")
          .starts_with("HTTP/1.1 431"));
  CHECK(server.Ask("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 101\r\n\r\n")
          .starts_with("HTTP/1.1 413"));
  CHECK(server
          .Ask("POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nff\r\n" +
               filler.substr(0, 255))
          .starts_with("HTTP/1.1 413"));
  CHECK(server.m_targets.empty());
}

TEST_CASE("requests on one channel are answered in turn, also when sent ahead") {
  EchoServer server;
  RawCaller caller(server.m_address);
  caller.Send("GET /1 HTTP/1.1\r\nHost: x\r\n\r\nGET /2 HTTP/1.1\r\nHost: x\r\n\r\n");
  std::string answers;
  CHECK(RunUntil(server.m_loop, [&] {
    answers += caller.Receive();
    return answers.find("/2") != std::string::npos;
  }));
  CHECK(answers.find("/1") < answers.find("/2"));
  CHECK(server.m_targets == std::vector<std::string>{"/1", "/2"});
}

TEST_CASE("520 half-sent requests delay a whole one by less than 50 ms") {
  EchoServer server;
  std::deque<RawCaller> slow;
  for (int caller = 0; caller < 520; ++caller) {
    slow.emplace_back(server.m_address)
      .Send("POST /slow HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nhalf");
    if (caller % 50 == 0) {
      server.m_loop.RunOnce(Milliseconds(1));
    }
  }
  REQUIRE(RunUntil(server.m_loop, [&] { return server.m_server->CountChannels() == 520; }));
  const SystemClock clock;
  const Time asked = clock.Now();
  CHECK(server.Ask("GET /whole HTTP/1.1\r\nHost: x\r\n\r\n").starts_with("HTTP/1.1 200"));
  CHECK(clock.Now() - asked < Milliseconds(50));
  CHECK(server.m_targets == std::vector<std::string>{"/whole"});
}

TEST_CASE("a caller that leaves while its request is in hand is noticed") {
  EchoServer server;
  server.m_holds = true;
  RawCaller caller(server.m_address);
  caller.Send("GET /held HTTP/1.1\r\nHost: x\r\n\r\n");
  REQUIRE(RunUntil(server.m_loop, [&] { return server.m_held != nullptr; }));
  bool isGone = false;
  server.m_held->SetOnDisconnected([&isGone] { isGone = true; });
  caller.Close();
  CHECK(RunUntil(
    server.m_loop, [&] { return isGone; }, Milliseconds(500)));
}

TEST_CASE("an answer that is broken off looks broken off to the caller") {
  EchoServer server;
  server.m_holds = true;
  RawCaller caller(server.m_address);
  caller.Send("GET /held HTTP/1.1\r\nHost: x\r\n\r\n");
  REQUIRE(RunUntil(server.m_loop, [&] { return server.m_held != nullptr; }));
  server.m_held->BeginResponse({.m_status = 200, .m_headers = {}});
  server.m_held->SendBodyPart("part");
  std::string answer;
  RunUntil(server.m_loop, [&] {
    answer += caller.Receive();
    return answer.find("part") != std::string::npos;
  });
  server.m_held->Abort();
  CHECK(RunUntil(server.m_loop, [&] {
    answer += caller.Receive();
    return caller.IsReset() || caller.IsClosed();
  }));
  CHECK(answer.find("0\r\n\r\n") == std::string::npos);
}

TEST_CASE("headers that take too long get 408") {
  EchoServer server;
  server.m_context->m_limits.m_headerTime = Milliseconds(100);
  CHECK(server.Ask("GET /a HTTP/1.1\r\nHost:").starts_with("HTTP/1.1 408"));
}
