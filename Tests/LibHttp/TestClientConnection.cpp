#include "LibHttp/ConnectionPool.h"
#include "Tests/LibHttp/LoopbackServer.h"

#include <doctest/doctest.h>
#include <memory>
#include <vector>

using namespace fennelline;

namespace {

/// A server that sends exactly the bytes given by the test.
struct ScriptedServer {
  ScriptedServer() {
    REQUIRE(!m_loop.Open().IsError());
    m_listener = ListenStream("127.0.0.1", 0).Take();
    m_address = "127.0.0.1:" + std::to_string(LocalPort(m_listener));
  }
  void Accept() {
    m_accepted = FileDescriptor();
    REQUIRE(RunUntil(m_loop, [this] {
      m_accepted = AcceptStream(m_listener);
      return m_accepted.IsOpen();
    }));
  }
  void Send(std::string_view aBytes) {
    REQUIRE(::send(m_accepted.Number(), aBytes.data(), aBytes.size(), MSG_NOSIGNAL) > 0);
  }
  void Reset() {
    const linger resetOnClose{.l_onoff = 1, .l_linger = 0};
    setsockopt(m_accepted.Number(), SOL_SOCKET, SO_LINGER, &resetOnClose, sizeof(resetOnClose));
    m_accepted.Close();
  }

  EventLoop m_loop;
  std::string m_address;
  FileDescriptor m_listener;
  FileDescriptor m_accepted;
};

/// Records the outcome of one call.
struct CallRecord {
  CallListener Listener(const std::string& aId) {
    CallListener listener;
    listener.m_onHead = [this, aId](const MessageHead& aHead) {
      const std::string* id = aHead.m_headers.Find("id");
      if (id != nullptr && *id != aId) {
        ++m_mismatchedResponses;
        return HeadAction::Skip;
      }
      m_status = aHead.m_status;
      return HeadAction::Accept;
    };
    listener.m_onBody = [this](const std::string& aPart) { m_body += aPart; };
    listener.m_onComplete = [this] { m_isComplete = true; };
    listener.m_onFailed = [this](CallFailure aFailure) { m_failure = aFailure; };
    return listener;
  }
  bool HasEnded() const { return m_isComplete || m_failure; }

  int m_status = 0;
  int m_mismatchedResponses = 0;
  std::string m_body;
  bool m_isComplete = false;
  std::optional<CallFailure> m_failure;
};

constexpr const char* kRequest = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";

/// A server, a connection pool for it, and one call on a connection that the server has accepted.
struct Exchange {
  Exchange()
    : m_connection(m_pool.Acquire(false).Take()) {
    m_connection->Send(kRequest, false, m_record.Listener("mine"));
    m_server.Accept();
  }
  void RunUntilEnded() {
    REQUIRE(RunUntil(m_server.m_loop, [this] { return m_record.HasEnded(); }));
  }

  ScriptedServer m_server;
  ConnectionPool m_pool{m_server.m_loop, {.m_address = m_server.m_address}};
  CallRecord m_record;
  std::shared_ptr<ClientConnection> m_connection;
};

} // namespace

TEST_CASE("a late response to an earlier call is skipped and the connection is not reused") {
  Exchange exchange;
  exchange.m_server.Send("HTTP/1.1 200 OK\r\nid: other\r\nContent-Length: 5\r\n\r\nother"
                         "HTTP/1.1 200 OK\r\nid: mine\r\nContent-Length: 4\r\n\r\nmine");
  exchange.RunUntilEnded();
  CHECK(exchange.m_record.m_isComplete);
  CHECK(exchange.m_record.m_mismatchedResponses == 1);
  CHECK(exchange.m_record.m_body == "mine");
  CHECK(!exchange.m_connection->IsReusable());
}

TEST_CASE("a connection with extra bytes after a complete response is not reused") {
  Exchange exchange;
  exchange.m_server.Send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmineHTTP/1.1 200 OK\r\n");
  exchange.RunUntilEnded();
  CHECK(exchange.m_record.m_body == "mine");
  CHECK(!exchange.m_connection->IsReusable());
}

TEST_CASE("the failure of a call tells how far the call progressed") {
  SUBCASE("no listener") {
    EventLoop loop;
    REQUIRE(!loop.Open().IsError());
    ConnectionPool pool(loop, {.m_address = ClosedAddress()});
    CallRecord record;
    pool.Acquire(false).Take()->Send(kRequest, false, record.Listener("mine"));
    REQUIRE(RunUntil(loop, [&] { return record.HasEnded(); }));
    CHECK(record.m_failure == CallFailure::Refused);
  }
  SUBCASE("reset before a response") {
    Exchange exchange;
    exchange.m_server.m_loop.RunOnce(Milliseconds(5));
    exchange.m_server.Reset();
    exchange.RunUntilEnded();
    CHECK(exchange.m_record.m_failure == CallFailure::NoResponse);
  }
  SUBCASE("connection closed within the response") {
    Exchange exchange;
    exchange.m_server.Send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
    exchange.m_server.m_accepted.Close();
    exchange.RunUntilEnded();
    CHECK(exchange.m_record.m_failure == CallFailure::TruncatedResponse);
  }
  SUBCASE("reset of a response without a length") {
    Exchange exchange;
    exchange.m_server.Send("HTTP/1.1 200 OK\r\n\r\nhalf");
    RunUntil(exchange.m_server.m_loop, [&] { return !exchange.m_record.m_body.empty(); });
    exchange.m_server.Reset();
    exchange.RunUntilEnded();
    CHECK(exchange.m_record.m_failure == CallFailure::TruncatedResponse);
  }
  SUBCASE("not an HTTP response") {
    Exchange exchange;
    exchange.m_server.Send("garbage\r\n\r\n");
    exchange.RunUntilEnded();
    CHECK(exchange.m_record.m_failure == CallFailure::Malformed);
  }
}

TEST_CASE("a check tells a server that accepts connections from one that does not") {
  EventLoop loop;
  REQUIRE(!loop.Open().IsError());
  std::optional<Reachability> result;
  const auto check = [&](ConnectionPool& aPool) {
    aPool.CheckReachability([&result](Reachability aResult) { result = aResult; });
    REQUIRE(RunUntil(loop, [&] { return result.has_value(); }));
  };
  SUBCASE("it accepts, and the connection is kept") {
    const FileDescriptor listener = ListenStream("127.0.0.1", 0).Take();
    ConnectionPool pool(loop, {.m_address = "127.0.0.1:" + std::to_string(LocalPort(listener))});
    check(pool);
    CHECK(result == Reachability::Accepts);
    CHECK(pool.CountInUse() == 0);
    CHECK(pool.CountOpen() == 1);
  }
  SUBCASE("nothing listens") {
    ConnectionPool pool(loop, {.m_address = ClosedAddress()});
    check(pool);
    CHECK(result == Reachability::Refuses);
    CHECK(pool.CountOpen() == 0);
  }
  SUBCASE("no reply in time") {
    // The queue of a listener that accepts nothing is full after a few connections.
    const FileDescriptor listener = ListenStream("127.0.0.1", 0).Take();
    REQUIRE(::listen(listener.Number(), 0) == 0);
    const std::string address = "127.0.0.1:" + std::to_string(LocalPort(listener));
    std::vector<FileDescriptor> queued;
    for (int connection = 0; connection < 4; ++connection) {
      queued.push_back(ConnectStream(address).Take());
    }
    ConnectionPool pool(loop, {.m_address = address, .m_connectTimeout = Milliseconds(50)});
    check(pool);
    CHECK(result == Reachability::Unknown);
    CHECK(pool.CountOpen() == 0);
  }
}

TEST_CASE("a response without a length is complete after an orderly close") {
  Exchange exchange;
  exchange.m_server.Send("HTTP/1.1 200 OK\r\n\r\nwhole");
  exchange.m_server.m_accepted.Close();
  exchange.RunUntilEnded();
  CHECK(exchange.m_record.m_isComplete);
  CHECK(exchange.m_record.m_body == "whole");
}

TEST_CASE("idle connections are reused, except for a call that asks for a new one") {
  ScriptedServer server;
  ConnectionPool pool(server.m_loop, {.m_address = server.m_address});
  CallRecord first;
  std::shared_ptr<ClientConnection> connection = pool.Acquire(false).Take();
  connection->Send(kRequest, false, first.Listener("mine"));
  server.Accept();
  server.Send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  REQUIRE(RunUntil(server.m_loop, [&] { return first.HasEnded(); }));
  pool.Release(connection);
  CHECK(pool.Acquire(true).Take() != connection);
  CHECK(pool.Acquire(false).Take() == connection);
  CHECK(pool.CountConnected() == 2);
}

TEST_CASE("calls on new connections do not accumulate idle connections at the server") {
  ScriptedServer server;
  ConnectionPool pool(server.m_loop, {.m_address = server.m_address});
  std::vector<FileDescriptor> accepted;
  for (int call = 0; call < 20; ++call) {
    const std::shared_ptr<ClientConnection> connection = pool.Acquire(true).Take();
    CallRecord record;
    connection->Send("POST / HTTP/1.1\r\n\r\n", false, record.Listener("a"));
    server.Accept();
    server.Send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    REQUIRE(RunUntil(server.m_loop, [&record] { return record.HasEnded(); }));
    REQUIRE(record.m_isComplete);
    pool.Release(connection);
    accepted.push_back(std::move(server.m_accepted));
    CHECK(pool.CountOpen() == 1);
  }
  // A call that accepts an idle connection gets one.
  CHECK(!pool.Acquire(false).IsError());
  CHECK(pool.CountConnected() == 20);
}
