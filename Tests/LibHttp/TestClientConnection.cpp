#include "LibHttp/ConnectionPool.h"
#include "Tests/LibHttp/LoopbackServer.h"

#include <doctest/doctest.h>
#include <memory>
#include <vector>

using namespace fennelline;

namespace {

/// A server that sends what the test tells it to, byte for byte.
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
    const linger atOnce{.l_onoff = 1, .l_linger = 0};
    setsockopt(m_accepted.Number(), SOL_SOCKET, SO_LINGER, &atOnce, sizeof(atOnce));
    m_accepted.Close();
  }

  EventLoop m_loop;
  std::string m_address;
  FileDescriptor m_listener;
  FileDescriptor m_accepted;
};

/// What became of one call.
struct CallRecord {
  CallListener Listener(const std::string& aId) {
    CallListener listener;
    listener.m_onHead = [this, aId](const MessageHead& aHead) {
      const std::string* id = aHead.m_headers.Find("id");
      if (id != nullptr && *id != aId) {
        ++m_strays;
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
  bool IsOver() const { return m_isComplete || m_failure; }

  int m_status = 0;
  int m_strays = 0;
  std::string m_body;
  bool m_isComplete = false;
  std::optional<CallFailure> m_failure;
};

constexpr const char* kRequest = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";

/// A server, a pool of channels to it, and one call that the server has accepted.
struct Exchange {
  Exchange()
    : m_channel(m_pool.Acquire(false).Take()) {
    m_channel->Send(kRequest, false, m_record.Listener("mine"));
    m_server.Accept();
  }
  void RunUntilOver() {
    REQUIRE(RunUntil(m_server.m_loop, [this] { return m_record.IsOver(); }));
  }

  ScriptedServer m_server;
  ConnectionPool m_pool{m_server.m_loop, {.m_address = m_server.m_address}};
  CallRecord m_record;
  std::shared_ptr<ClientConnection> m_channel;
};

} // namespace

TEST_CASE("a late answer of an earlier call is passed over, and the channel not used again") {
  Exchange exchange;
  exchange.m_server.Send("HTTP/1.1 200 OK\r\nid: other\r\nContent-Length: 5\r\n\r\nother"
                         "HTTP/1.1 200 OK\r\nid: mine\r\nContent-Length: 4\r\n\r\nmine");
  exchange.RunUntilOver();
  CHECK(exchange.m_record.m_isComplete);
  CHECK(exchange.m_record.m_strays == 1);
  CHECK(exchange.m_record.m_body == "mine");
  CHECK(!exchange.m_channel->IsReusable());
}

TEST_CASE("bytes after a whole answer belong to no call, and the channel is not used again") {
  Exchange exchange;
  exchange.m_server.Send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmineHTTP/1.1 200 OK\r\n");
  exchange.RunUntilOver();
  CHECK(exchange.m_record.m_body == "mine");
  CHECK(!exchange.m_channel->IsReusable());
}

TEST_CASE("how far a call got decides what its failure says") {
  SUBCASE("nobody listens") {
    EventLoop loop;
    REQUIRE(!loop.Open().IsError());
    ConnectionPool pool(loop, {.m_address = DeadAddress()});
    CallRecord record;
    pool.Acquire(false).Take()->Send(kRequest, false, record.Listener("mine"));
    REQUIRE(RunUntil(loop, [&] { return record.IsOver(); }));
    CHECK(record.m_failure == CallFailure::NotSent);
  }
  SUBCASE("reset without an answer") {
    Exchange exchange;
    exchange.m_server.m_loop.RunOnce(Milliseconds(5));
    exchange.m_server.Reset();
    exchange.RunUntilOver();
    CHECK(exchange.m_record.m_failure == CallFailure::NoResponse);
  }
  SUBCASE("cut in the answer") {
    Exchange exchange;
    exchange.m_server.Send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
    exchange.m_server.m_accepted.Close();
    exchange.RunUntilOver();
    CHECK(exchange.m_record.m_failure == CallFailure::TruncatedResponse);
  }
  SUBCASE("no length, reset") {
    Exchange exchange;
    exchange.m_server.Send("HTTP/1.1 200 OK\r\n\r\nhalf");
    RunUntil(exchange.m_server.m_loop, [&] { return !exchange.m_record.m_body.empty(); });
    exchange.m_server.Reset();
    exchange.RunUntilOver();
    CHECK(exchange.m_record.m_failure == CallFailure::TruncatedResponse);
  }
  SUBCASE("no answer in the protocol") {
    Exchange exchange;
    exchange.m_server.Send("garbage\r\n\r\n");
    exchange.RunUntilOver();
    CHECK(exchange.m_record.m_failure == CallFailure::Malformed);
  }
}

TEST_CASE("an answer without a length is whole when the connection ends in order") {
  Exchange exchange;
  exchange.m_server.Send("HTTP/1.1 200 OK\r\n\r\nwhole");
  exchange.m_server.m_accepted.Close();
  exchange.RunUntilOver();
  CHECK(exchange.m_record.m_isComplete);
  CHECK(exchange.m_record.m_body == "whole");
}

TEST_CASE("kept channels are used again, but not for a call that needs a fresh one") {
  ScriptedServer server;
  ConnectionPool pool(server.m_loop, {.m_address = server.m_address});
  CallRecord first;
  std::shared_ptr<ClientConnection> channel = pool.Acquire(false).Take();
  channel->Send(kRequest, false, first.Listener("mine"));
  server.Accept();
  server.Send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  REQUIRE(RunUntil(server.m_loop, [&] { return first.IsOver(); }));
  pool.Release(channel);
  CHECK(pool.Acquire(true).Take() != channel);
  CHECK(pool.Acquire(false).Take() == channel);
  CHECK(pool.CountConnected() == 2);
}

TEST_CASE("calls on new channels do not pile up kept ones at the server") {
  ScriptedServer server;
  ConnectionPool pool(server.m_loop, {.m_address = server.m_address});
  std::vector<FileDescriptor> accepted;
  for (int call = 0; call < 20; ++call) {
    const std::shared_ptr<ClientConnection> channel = pool.Acquire(true).Take();
    CallRecord record;
    channel->Send("POST / HTTP/1.1\r\n\r\n", false, record.Listener("a"));
    server.Accept();
    server.Send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    REQUIRE(RunUntil(server.m_loop, [&record] { return record.IsOver(); }));
    REQUIRE(record.m_isComplete);
    pool.Release(channel);
    accepted.push_back(std::move(server.m_accepted));
    CHECK(pool.CountOpen() == 1);
  }
  // A call that may use a kept channel finds one.
  CHECK(!pool.Acquire(false).IsError());
  CHECK(pool.CountConnected() == 20);
}
