#include "Services/Edge/OutgoingCalls.h"
#include "Tests/LibHttp/LoopbackServer.h"

#include <doctest/doctest.h>

using namespace fennelline;

namespace {

constexpr int kOk = 200;
constexpr Duration kTimeout = Milliseconds(300);
const std::string kRequest = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";

struct TimedResponse {
  CallResponse m_response;
  Duration m_took{0};
};

/// A server whose responses come in parts at an interval. It sends m_parts of them,
/// and the end of the response if m_ends.
struct SlowServer {
  SlowServer() {
    REQUIRE(!m_loop.Open().IsError());
    m_context->m_onRequest = [this](const std::shared_ptr<ServerConnection>& aCaller,
                                    const IncomingRequest&) {
      aCaller->BeginResponse({.m_status = kOk, .m_headers = {}});
      SendPart(aCaller, m_parts);
    };
    m_server = std::make_unique<HttpServer>(m_loop, m_context, 10);
    REQUIRE(!m_server->Listen("127.0.0.1:0").IsError());
  }

  void SendPart(const std::shared_ptr<ServerConnection>& aCaller, int aLeft) {
    if (aLeft == 0) {
      if (m_ends) {
        aCaller->EndResponse();
      }
      return;
    }
    aCaller->SendBodyPart(m_part);
    m_loop.After(m_interval, [this, aCaller, aLeft] { SendPart(aCaller, aLeft - 1); });
  }

  /// Sends a call and returns its response and the time that it took.
  TimedResponse Call() {
    OutgoingCalls calls(m_loop);
    std::optional<CallResponse> received;
    const SystemClock clock;
    const Time start = clock.Now();
    calls.Send("127.0.0.1:" + std::to_string(m_server->Port()), kRequest, kTimeout,
               [&received](const CallResponse& aResponse) { received = aResponse; });
    REQUIRE(RunUntil(m_loop, [&received] { return received.has_value(); }));
    return {.m_response = *received, .m_took = clock.Now() - start};
  }

  EventLoop m_loop;
  std::shared_ptr<ServerContext> m_context = std::make_shared<ServerContext>();
  std::unique_ptr<HttpServer> m_server;
  std::string m_part = "0123456789";
  Duration m_interval = Milliseconds(100);
  int m_parts = 10;
  bool m_ends = true;
};

} // namespace

TEST_CASE("a response that keeps arriving is not given up at the time limit for its beginning") {
  SlowServer server;
  const TimedResponse call = server.Call();
  CHECK(call.m_response.m_status == kOk);
  CHECK(call.m_response.m_body.size() == 100);
  CHECK(call.m_response.m_transferTime >= Milliseconds(800));
}

TEST_CASE("a response that does not begin is given up at the time limit") {
  SlowServer server;
  server.m_parts = 0;
  server.m_ends = false;
  const TimedResponse call = server.Call();
  CHECK(call.m_response.m_status == 0);
  CHECK(call.m_took >= kTimeout);
  CHECK(call.m_took < kTimeout + Milliseconds(300));
}

TEST_CASE("a response that stalls is given up, and what has come is reported") {
  SlowServer server;
  server.m_parts = 4;
  server.m_ends = false;
  const TimedResponse call = server.Call();
  CHECK(call.m_response.m_status == 0);
  CHECK(call.m_response.m_body.size() == 40);
  // The last part comes after 0.3 s, and 0.7 s is the longest stall.
  CHECK(call.m_took >= Milliseconds(950));
  CHECK(call.m_took < Milliseconds(1500));
}

TEST_CASE("a response that trickles is given up in the end") {
  SlowServer server;
  server.m_parts = 1000;
  const TimedResponse call = server.Call();
  CHECK(call.m_response.m_status == 0);
  CHECK(call.m_took >= Milliseconds(2900));
  CHECK(call.m_took < Milliseconds(4000));
}

TEST_CASE("a response without end is given up before it fills the memory") {
  SlowServer server;
  server.m_part = std::string(256UL * 1024, 'x');
  server.m_interval = Milliseconds(1);
  server.m_parts = 1000;
  const TimedResponse call = server.Call();
  CHECK(call.m_response.m_status == 0);
  CHECK(call.m_response.m_isTooLong);
  CHECK(call.m_response.m_body.empty());
  CHECK(call.m_took < Milliseconds(1000));
}

TEST_CASE("the longest response that is expected is received whole") {
  SlowServer server;
  server.m_part = std::string(256UL * 1024, 'x');
  server.m_interval = Milliseconds(1);
  server.m_parts = static_cast<int>(kMaxResponseBytes / server.m_part.size());
  const TimedResponse call = server.Call();
  CHECK(call.m_response.m_status == kOk);
  CHECK(call.m_response.m_body.size() == kMaxResponseBytes);
}
