#include "Tests/LibHttp/LoopbackServer.h"

#include <array>
#include <deque>
#include <doctest/doctest.h>
#include <memory>
#include <stdexcept>
#include <string_view>
#include <vector>

using namespace fennelline;

namespace {

/// A server that responds to each request immediately with its target, or holds it if
/// m_holdRequests is set.
struct EchoServer {
  EchoServer() {
    REQUIRE(!m_loop.Open().IsError());
    m_context->m_onRequest = [this](const std::shared_ptr<ServerConnection>& aConnection,
                                    const IncomingRequest& aRequest) {
      m_targets.push_back(aRequest.m_head.m_target);
      if (m_holdRequests) {
        m_heldConnection = aConnection;
        return;
      }
      aConnection->SendResponse({.m_status = 200, .m_headers = {}}, aRequest.m_head.m_target);
    };
    m_server = std::make_unique<HttpServer>(m_loop, m_context, 3000);
    REQUIRE(!m_server->Listen("127.0.0.1:0").IsError());
    m_address = "127.0.0.1:" + std::to_string(m_server->Port());
  }

  std::string SendRequest(std::string_view aRequest) {
    RawClient client(m_address);
    client.Send(aRequest);
    std::string response;
    RunUntil(m_loop, [&] {
      response += client.Receive();
      return client.IsClosed() || response.find("\r\n\r\n") != std::string::npos;
    });
    return response;
  }

  EventLoop m_loop;
  std::string m_address;
  std::shared_ptr<ServerContext> m_context = std::make_shared<ServerContext>();
  std::unique_ptr<HttpServer> m_server;
  std::vector<std::string> m_targets;
  std::shared_ptr<ServerConnection> m_heldConnection;
  bool m_holdRequests = false;
};

constexpr const char* kTwoLengths = "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n"
                                    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n";

/// Complete requests that the parser accepts and the server refuses.
constexpr std::array<std::string_view, 9> kRefusedRequests = {
  "GET /a HTTP/1.1\r\n\r\n",
  "GET /a HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n",
  "GET http://x/a HTTP/1.1\r\nHost: x\r\n\r\n",
  "CONNECT x:1 HTTP/1.1\r\nHost: x\r\n\r\n",
  "OPTIONS * HTTP/1.1\r\nHost: x\r\n\r\n",
  "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
  "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
  "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
  "POST /a HTTP/1.1\r\n\r\n",
  kTwoLengths,
};

/// What may follow a message in the same write.
constexpr std::array<std::string_view, 4> kBytesBehind = {
  "GET /b HTTP/1.1\r\nHost: x\r\n\r\n",
  "GET /b HTTP/1.1\r\nHost: x\r\n\r\nGET /c HTTP/1.1\r\nHost: x\r\n\r\n",
  "GET /b HT",
  "\r\n",
};

std::size_t CountOf(const std::string& aText, std::string_view aPart) {
  std::size_t count = 0;
  for (std::size_t at = aText.find(aPart); at != std::string::npos;
       at = aText.find(aPart, at + 1)) {
    ++count;
  }
  return count;
}

} // namespace

TEST_CASE("malformed and smuggled requests get 400 and a closed connection, and are not executed") {
  for (const char* request :
       {"GET /a HTTP/1.1\r\n\r\n", "GET /a HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n",
        "GET http://x/a HTTP/1.1\r\nHost: x\r\n\r\n", kTwoLengths,
        "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length : 4\r\n\r\nbody", "nonsense\r\n\r\n"}) {
    EchoServer server;
    const std::string response = server.SendRequest(request);
    CHECK_MESSAGE(response.starts_with("HTTP/1.1 400"), request);
    CHECK(response.find("Connection: close") != std::string::npos);
    CHECK(server.m_targets.empty());
  }
}

// Guards against an event loop that never returns: the connection lingers after its rejection, and
// the unread bytes made the server reject the same message again without end.
TEST_CASE("a refused request with bytes behind it is rejected once, and others are served") {
  for (const std::string_view refused : kRefusedRequests) {
    for (const std::string_view behind : kBytesBehind) {
      const std::string sent = std::string(refused) + std::string(behind);
      CAPTURE(sent);
      EchoServer server;
      int rejections = 0;
      server.m_context->m_onRejected = [&rejections](int, std::string_view) {
        if (++rejections > 1) {
          throw std::runtime_error("rejected again");
        }
      };
      RawClient client(server.m_address);
      client.Send(sent);
      std::string response;
      RunUntil(server.m_loop, [&] {
        response += client.Receive();
        return client.IsClosed();
      });
      CHECK(CountOf(response, "HTTP/1.1 ") == 1);
      CHECK(response.starts_with("HTTP/1.1 400"));
      CHECK(server.m_targets.empty());
      // The connection lingers, since its client has not closed it.
      client.Send(behind);
      CHECK(
        server.SendRequest("GET /other HTTP/1.1\r\nHost: x\r\n\r\n").starts_with("HTTP/1.1 200"));
      CHECK(server.m_targets == std::vector<std::string>{"/other"});
      CHECK(rejections == 1);
    }
  }
}

TEST_CASE("a version that is none of HTTP/1 gets 505, and a later minor version is served") {
  for (const char* version : {"HTTP/0.9", "HTTP/2.0", "HTTP/3.1", "HTTP/9.9"}) {
    EchoServer server;
    const std::string sent = std::string("POST /a ") + version + "\r\nHost: x\r\n\r\n";
    CHECK_MESSAGE(server.SendRequest(sent).starts_with("HTTP/1.1 505"), sent);
    CHECK(server.m_targets.empty());
  }
  EchoServer server;
  CHECK(server.SendRequest("GET /a HTTP/1.7\r\nHost: x\r\n\r\n").ends_with("/a"));
}

// Guards against waiting for the body of a request that cannot be served.
TEST_CASE("a refused head is rejected before its body arrives") {
  EchoServer server;
  const std::string response = server.SendRequest(
    "POST /a HTTP/1.1\r\nHost: x\r\nHost: y\r\nExpect: 100-continue\r\nContent-Length: 9\r\n\r\n");
  CHECK(response.starts_with("HTTP/1.1 400"));
  CHECK(server.m_context->m_bodies->m_usedBytes == 0);
}

// Guards against counting the framing of a body as headers.
TEST_CASE("a body in many small chunks is not limited by the size of headers") {
  EchoServer server;
  server.m_context->m_limits.m_headerBytes = 1000;
  std::string chunks;
  for (int chunk = 0; chunk < 3000; ++chunk) {
    chunks += "1\r\nx\r\n";
  }
  const std::string head = "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
  CHECK(server.SendRequest(head + chunks + "0\r\n\r\n").ends_with("/a"));
}

// Guards against clients that hold memory for bodies which they never finish.
TEST_CASE("a body of which nothing arrives for the idle time gets 408") {
  EchoServer server;
  server.m_context->m_limits.m_idleTime = Milliseconds(100);
  const std::string response =
    server.SendRequest("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nhalf");
  CHECK(response.starts_with("HTTP/1.1 408"));
  CHECK(server.m_context->m_bodies->m_usedBytes == 0);
}

// Guards against rejections that are logged and counted again while the connection lingers.
TEST_CASE("a rejected request is not rejected again once its header timeout has expired") {
  for (const std::string_view sent : {"nonsense\r\n\r\n", "GET /a HTTP/1.1\r\nHost:"}) {
    CAPTURE(sent);
    EchoServer server;
    server.m_context->m_limits.m_headerTime = Milliseconds(50);
    int rejections = 0;
    server.m_context->m_onRejected = [&rejections](int, std::string_view) { ++rejections; };
    RawClient client(server.m_address);
    client.Send(sent);
    // The server checks timeouts several times while the connection lingers.
    CHECK(RunUntil(server.m_loop, [&] { return server.m_server->CountConnections() == 1; }));
    CHECK(RunUntil(server.m_loop, [&] { return server.m_server->CountConnections() == 0; }));
    CHECK(rejections == 1);
  }
}

// Guards against requests that run although their answers can no longer be sent.
TEST_CASE("a request behind one whose response closes the connection is not executed") {
  const std::string behind = "GET /2 HTTP/1.1\r\nHost: x\r\n\r\nGET /3 HTTP/1.1\r\nHost: x\r\n\r\n";
  for (const char* first : {"GET /1 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
                            "GET /1 HTTP/1.0\r\nHost: x\r\n\r\n"}) {
    EchoServer server;
    CHECK(server.SendRequest(first + behind).ends_with("/1"));
    CHECK(server.m_targets == std::vector<std::string>{"/1"});
  }
  EchoServer closing;
  closing.m_context->m_closing = true;
  const std::string first = "GET /1 HTTP/1.1\r\nHost: x\r\n\r\n";
  const std::string response = closing.SendRequest(first + behind);
  CHECK(response.find("Connection: close") != std::string::npos);
  CHECK(CountOf(response, "HTTP/1.1 ") == 1);
  CHECK(closing.m_targets == std::vector<std::string>{"/1"});
}

TEST_CASE("too large headers get 431 and too large bodies 413") {
  EchoServer server;
  server.m_context->m_limits.m_headerBytes = 1000;
  server.m_context->m_limits.m_bodyBytes = 100;
  const std::string filler(2000, 'x');
  CHECK(server.SendRequest("GET /a HTTP/1.1\r\nHost: x\r\nX-Long: " + filler + "\r\n\r\n")
          .starts_with("HTTP/1.1 431"));
  CHECK(server.SendRequest("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 101\r\n\r\n")
          .starts_with("HTTP/1.1 413"));
  CHECK(server
          .SendRequest("POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nff\r\n" +
                       filler.substr(0, 255))
          .starts_with("HTTP/1.1 413"));
  CHECK(server.m_targets.empty());
}

TEST_CASE("a body for which there is no memory is rejected by its announced length") {
  EchoServer server;
  server.m_holdRequests = true;
  server.m_context->m_bodies->m_maxBytes = 1000;
  server.m_context->m_onRejectedForNow = [](HeaderList& aHeaders) {
    aHeaders.Add("Retry-After", "0.5");
  };
  const std::string large = "POST /large HTTP/1.1\r\nHost: x\r\nContent-Length: 700\r\n\r\n";
  RawClient first(server.m_address);
  first.Send(large + "part");
  REQUIRE(RunUntil(server.m_loop, [&] { return server.m_context->m_bodies->m_usedBytes == 700; }));
  // The rest of it is not awaited, and the rejected one uses nothing.
  const std::string rejected = server.SendRequest(large);
  CHECK(rejected.starts_with("HTTP/1.1 503"));
  CHECK(rejected.find("Retry-After: 0.5") != std::string::npos);
  CHECK(server.m_context->m_bodies->m_usedBytes == 700);
  RawClient small(server.m_address);
  small.Send("POST /small HTTP/1.1\r\nHost: x\r\nContent-Length: 300\r\n\r\n" +
             std::string(300, 'x'));
  CHECK(RunUntil(server.m_loop, [&] { return server.m_targets.size() == 1; }));
  CHECK(server.m_context->m_bodies->m_usedBytes == 1000);
  first.Close();
  small.Close();
  CHECK(RunUntil(server.m_loop, [&] { return server.m_context->m_bodies->m_usedBytes == 0; }));
}

TEST_CASE("pipelined requests on one connection are answered in order") {
  EchoServer server;
  RawClient client(server.m_address);
  client.Send("GET /1 HTTP/1.1\r\nHost: x\r\n\r\nGET /2 HTTP/1.1\r\nHost: x\r\n\r\n");
  std::string responses;
  CHECK(RunUntil(server.m_loop, [&] {
    responses += client.Receive();
    return responses.find("/2") != std::string::npos;
  }));
  CHECK(responses.find("/1") < responses.find("/2"));
  CHECK(server.m_targets == std::vector<std::string>{"/1", "/2"});
}

TEST_CASE("520 incomplete requests delay a complete one by less than 50 ms") {
  EchoServer server;
  std::deque<RawClient> slow;
  for (int client = 0; client < 520; ++client) {
    slow.emplace_back(server.m_address)
      .Send("POST /slow HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nhalf");
    if (client % 50 == 0) {
      server.m_loop.RunOnce(Milliseconds(1));
    }
  }
  REQUIRE(RunUntil(server.m_loop, [&] { return server.m_server->CountConnections() == 520; }));
  const SystemClock clock;
  const Time asked = clock.Now();
  CHECK(server.SendRequest("GET /whole HTTP/1.1\r\nHost: x\r\n\r\n").starts_with("HTTP/1.1 200"));
  CHECK(clock.Now() - asked < Milliseconds(50));
  CHECK(server.m_targets == std::vector<std::string>{"/whole"});
}

TEST_CASE("a client that disconnects while its request is in progress is noticed") {
  EchoServer server;
  server.m_holdRequests = true;
  RawClient client(server.m_address);
  client.Send("GET /held HTTP/1.1\r\nHost: x\r\n\r\n");
  REQUIRE(RunUntil(server.m_loop, [&] { return server.m_heldConnection != nullptr; }));
  bool isDisconnected = false;
  server.m_heldConnection->SetOnDisconnected([&isDisconnected] { isDisconnected = true; });
  client.Close();
  CHECK(RunUntil(
    server.m_loop, [&] { return isDisconnected; }, Milliseconds(500)));
}

TEST_CASE("an aborted response appears truncated to the client") {
  EchoServer server;
  server.m_holdRequests = true;
  RawClient client(server.m_address);
  client.Send("GET /held HTTP/1.1\r\nHost: x\r\n\r\n");
  REQUIRE(RunUntil(server.m_loop, [&] { return server.m_heldConnection != nullptr; }));
  server.m_heldConnection->BeginResponse({.m_status = 200, .m_headers = {}});
  server.m_heldConnection->SendBodyPart("part");
  std::string response;
  RunUntil(server.m_loop, [&] {
    response += client.Receive();
    return response.find("part") != std::string::npos;
  });
  server.m_heldConnection->Abort();
  CHECK(RunUntil(server.m_loop, [&] {
    response += client.Receive();
    return client.IsReset() || client.IsClosed();
  }));
  CHECK(response.find("0\r\n\r\n") == std::string::npos);
}

// Guards against memory that is held for clients which read a response for ever.
TEST_CASE("a response that is still being read after its time is reset") {
  constexpr std::size_t kLargeBytes = 32UL * 1024 * 1024;
  for (const char* more : {"", "Connection: close\r\n"}) {
    EchoServer server;
    server.m_holdRequests = true;
    RawClient client(server.m_address);
    client.Send(std::string("GET /held HTTP/1.1\r\nHost: x\r\n") + more + "\r\n");
    REQUIRE(RunUntil(server.m_loop, [&] { return server.m_heldConnection != nullptr; }));
    const SystemClock clock;
    const Time sent = clock.Now();
    server.m_heldConnection->SetReadBy(sent + Milliseconds(2000));
    server.m_heldConnection->SendResponse({.m_status = 200, .m_headers = {}},
                                          std::string(kLargeBytes, 'x'));
    Time read = sent;
    CHECK(RunUntil(server.m_loop, [&] {
      if (clock.Now() - read > Milliseconds(50)) {
        client.Receive();
        read = clock.Now();
      }
      return server.m_server->CountConnections() == 0;
    }));
    CHECK(clock.Now() - sent > Milliseconds(1900));
    CHECK(clock.Now() - sent < Milliseconds(4000));
  }
}

TEST_CASE("a response without a length is reset if its client shuts down its sending direction") {
  EchoServer server;
  server.m_holdRequests = true;
  RawClient client(server.m_address);
  client.Send("GET /held HTTP/1.0\r\nHost: x\r\n\r\n");
  REQUIRE(RunUntil(server.m_loop, [&] { return server.m_heldConnection != nullptr; }));
  server.m_heldConnection->BeginResponse({.m_status = 200, .m_headers = {}});
  server.m_heldConnection->SendBodyPart("part");
  client.ShutDownSending();
  CHECK(RunUntil(server.m_loop, [&] {
    client.Receive();
    return client.IsReset() || client.IsClosed();
  }));
  CHECK(client.IsReset());
}

TEST_CASE("headers that take too long get 408") {
  EchoServer server;
  server.m_context->m_limits.m_headerTime = Milliseconds(100);
  CHECK(server.SendRequest("GET /a HTTP/1.1\r\nHost:").starts_with("HTTP/1.1 408"));
}
