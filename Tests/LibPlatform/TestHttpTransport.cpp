#include "LibPlatform/HttpTransport.h"

#include "LibPlatform/BackendReply.h"
#include "LibPlatform/EngineClient.h"
#include "LibWire/Socket.h"
#include "Tests/LibPlatform/LocalServer.h"

#include <array>
#include <doctest/doctest.h>
#include <future>
#include <poll.h>
#include <sys/socket.h>
#include <thread>

using namespace fennelline;

namespace {

/// The callbacks observed during a call to a backend server.
struct ObservedCall {
  std::string m_bytes;
  int m_finished = 0;
  std::optional<BackendCallFailure> m_failure;
};

ObservedCall RunChat(const std::string& aAddress, bool aStream, HttpCancel& aCancel) {
  HttpTransport transport;
  EngineClient engine(transport, Seconds(1));
  ObservedCall observed;
  BackendObserver observer;
  observer.m_head = [](int, const std::string&) {};
  observer.m_chunk = [&](const std::string& aBytes, std::uint64_t, std::int64_t) {
    observed.m_bytes += aBytes;
  };
  observer.m_finished = [&](const BackendUsage&) { ++observed.m_finished; };
  observer.m_failed = [&](BackendCallFailure aFailure, const std::string&) {
    observed.m_failure = aFailure;
  };
  engine.Chat({.m_address = aAddress,
               .m_path = "/v1/chat/completions",
               .m_body = "{}",
               .m_attempt = "a-1",
               .m_version = "small@1",
               .m_stream = aStream,
               .m_timeout = Seconds(3),
               .m_idleTimeout = Milliseconds(300)},
              observer, aCancel);
  return observed;
}

/// A server that answers one connection after the head of its request, then resets it.
class ResettingServer {
public:
  explicit ResettingServer(std::string aAnswer)
    : m_listener(ListenStream("127.0.0.1", 0).Take())
    , m_answer(std::move(aAnswer))
    , m_thread([this] { Serve(); }) {}
  ~ResettingServer() { m_thread.join(); }
  ResettingServer(const ResettingServer&) = delete;
  ResettingServer& operator=(const ResettingServer&) = delete;

  std::string Address() const { return "127.0.0.1:" + std::to_string(LocalPort(m_listener)); }

private:
  void Serve() {
    pollfd waiting{.fd = m_listener.Number(), .events = POLLIN, .revents = 0};
    constexpr int kMaxWaitMs = 5000;
    ::poll(&waiting, 1, kMaxWaitMs);
    const FileDescriptor accepted = AcceptStream(m_listener);
    waiting.fd = accepted.Number();
    ::poll(&waiting, 1, kMaxWaitMs);
    std::array<char, 1024> head;
    ::recv(accepted.Number(), head.data(), head.size(), 0);
    ::send(accepted.Number(), m_answer.data(), m_answer.size(), MSG_NOSIGNAL);
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    const linger resetOnClose{.l_onoff = 1, .l_linger = 0};
    setsockopt(accepted.Number(), SOL_SOCKET, SO_LINGER, &resetOnClose, sizeof(resetOnClose));
  }

  FileDescriptor m_listener;
  std::string m_answer;
  std::thread m_thread;
};

} // namespace

// Guards against a part of an answer that passes for the whole one.
TEST_CASE("A reply without a length that is reset early is lost, also during a long request") {
  for (const std::size_t requestBytes : {0UL, 4'000'000UL}) {
    for (const std::size_t partBytes : {3UL, 20'000UL}) {
      for (const std::string framing : {"", "Connection: close\r\n"}) {
        const ResettingServer server("HTTP/1.1 200 OK\r\n" + framing + "\r\n" +
                                     std::string(partBytes, 'x'));
        HttpTransport transport;
        const HttpRequest request{
          .m_method = "POST", .m_target = "/", .m_body = std::string(requestBytes, 'x')};
        CHECK(transport.Call(server.Address(), request, {}).m_failure == HttpFailure::Lost);
      }
    }
  }
}

TEST_CASE("A status that is none of HTTP/1 is no success") {
  for (const char* line : {"HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK",
                           "HTTP/1.1 20 OK", "HTTP/2.0 200 OK"}) {
    const ResettingServer server(std::string(line) + "\r\nContent-Length: 2\r\n\r\nhi");
    HttpTransport transport;
    const HttpReply reply = transport.Call(server.Address(), {.m_target = "/"}, {});
    CHECK_MESSAGE(!IsSuccess(reply), line);
  }
}

TEST_CASE("A refused connection is reported as not sent") {
  std::string address;
  {
    LocalServer server;
    server.Start();
    address = server.Address();
  }
  HttpCancel cancel;
  CHECK(RunChat(address, false, cancel).m_failure == BackendCallFailure::NotSent);
}

TEST_CASE("Only a 503 reply with error not-run counts as refused") {
  LocalServer server;
  std::string body = R"({"error": "not-run"})";
  server.Routes().Post("/v1/chat/completions",
                       [&](const httplib::Request&, httplib::Response& aResponse) {
                         aResponse.status = 503;
                         aResponse.set_content(body, "application/json");
                       });
  server.Start();
  HttpCancel cancel;
  CHECK(RunChat(server.Address(), false, cancel).m_failure == BackendCallFailure::Refused);
  body = R"({"error": "overloaded"})";
  CHECK(RunChat(server.Address(), false, cancel).m_failure == BackendCallFailure::ServerError);
  body = "";
  CHECK(RunChat(server.Address(), true, cancel).m_failure == BackendCallFailure::ServerError);
}

TEST_CASE("A stream without its [DONE] event is broken, not finished") {
  LocalServer server;
  std::string text = "id: 1\ndata: {}\n\n";
  server.Routes().Post("/v1/chat/completions",
                       [&](const httplib::Request&, httplib::Response& aResponse) {
                         aResponse.set_content(text, "text/event-stream");
                       });
  server.Start();
  HttpCancel cancel;
  const ObservedCall cut = RunChat(server.Address(), true, cancel);
  CHECK(cut.m_finished == 0);
  CHECK(cut.m_failure == BackendCallFailure::Broken);
  text += "id: 2\ndata: [DONE]\n\n";
  const ObservedCall whole = RunChat(server.Address(), true, cancel);
  CHECK(whole.m_finished == 1);
  CHECK(whole.m_bytes == "data: {}\n\n");
  CHECK_FALSE(whole.m_failure.has_value());
}

TEST_CASE("A stream without data is broken after the idle timeout, a cancelled call at once") {
  LocalServer server;
  std::promise<void> release;
  const std::shared_future<void> released = release.get_future().share();
  std::promise<void> arrived;
  std::atomic<int> arrivals = 0;
  server.Routes().Post("/v1/chat/completions", [&](const httplib::Request&, httplib::Response&) {
    if (++arrivals == 2) {
      arrived.set_value();
    }
    released.wait();
  });
  server.Start();
  HttpCancel silent;
  CHECK(RunChat(server.Address(), true, silent).m_failure == BackendCallFailure::Broken);
  HttpCancel cancel;
  std::future<ObservedCall> call =
    std::async(std::launch::async, [&] { return RunChat(server.Address(), false, cancel); });
  arrived.get_future().wait();
  cancel.Cancel();
  CHECK(call.get().m_failure == BackendCallFailure::Broken);
  release.set_value();
}
