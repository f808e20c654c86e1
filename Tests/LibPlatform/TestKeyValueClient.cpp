#include "LibPlatform/KeyValueClient.h"

#include "Tests/LibPlatform/LocalServer.h"

#include <doctest/doctest.h>

using namespace fennelline;

namespace {

/// Returns the status of a call to a service that sends the given reply.
PlatformStatus StatusFor(int aStatus, const std::string& aBody, const PlatformRequest& aRequest) {
  LocalServer server;
  const httplib::Server::Handler answer = [&](const httplib::Request&,
                                              httplib::Response& aResponse) {
    aResponse.status = aStatus;
    aResponse.set_content(aBody, "application/json");
  };
  server.Routes().Put("/kv/.+", answer).Get("/kv/.+", answer);
  server.Start();
  HttpTransport transport;
  KeyValueClient client(transport, server.Address(), Milliseconds(500));
  return client.Call({}, aRequest).m_status;
}

} // namespace

TEST_CASE("A write is unavailable only if it cannot have been applied") {
  const PlatformRequest put = PutKey{.m_key = "k", .m_value = "v"};
  const PlatformRequest get = GetKey{.m_key = "k"};
  CHECK(StatusFor(200, R"({"revision": 3})", put) == PlatformStatus::Ok);
  CHECK(StatusFor(409, R"({"revision": 3, "current": null})", put) == PlatformStatus::Conflict);
  CHECK(StatusFor(503, "{}", put) == PlatformStatus::Unavailable);
  CHECK(StatusFor(429, "{}", put) == PlatformStatus::Unavailable);
  CHECK(StatusFor(500, "{}", put) == PlatformStatus::Unknown);
  CHECK(StatusFor(200, R"({"revision": "three"})", put) == PlatformStatus::Unknown);
  CHECK(StatusFor(500, "{}", get) == PlatformStatus::Unavailable);
  CHECK(StatusFor(404, "{}", get) == PlatformStatus::NotFound);
}

TEST_CASE("A write whose reply times out is unknown") {
  LocalServer server;
  std::atomic<bool> end = false;
  server.Routes().Put("/kv/.+", [&](const httplib::Request&, httplib::Response&) {
    while (!end) {
      std::this_thread::yield();
    }
  });
  server.Start();
  HttpTransport transport;
  KeyValueClient client(transport, server.Address(), Milliseconds(100));
  CHECK(client.Call({}, PutKey{.m_key = "k"}).m_status == PlatformStatus::Unknown);
  end = true;
}

TEST_CASE("A conflict returns the current value") {
  LocalServer server;
  server.Routes().Put("/kv/.+", [](const httplib::Request& aRequest, httplib::Response& aOut) {
    CHECK(aRequest.path == "/kv/a/b c");
    aOut.status = 409;
    aOut.set_content(R"({"revision": 9, "current": {"key": "a/b c", "value": "x", "revision": 4}})",
                     "application/json");
  });
  server.Start();
  HttpTransport transport;
  KeyValueClient client(transport, server.Address(), Seconds(1));
  const PlatformReply reply = client.Call({}, PutKey{.m_key = "a/b c"});
  REQUIRE(reply.m_keys.size() == 1);
  CHECK(reply.m_keys[0].m_value == "x");
  CHECK(reply.m_keys[0].m_revision == 4);
  CHECK(reply.m_revision == 9);
}
