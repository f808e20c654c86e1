#include "Utilities/StandinPlatform/Platform.h"

#include <chrono>
#include <cstdlib>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <thread>

namespace fennelline {

using nlohmann::json;

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kTooLarge = 413;
constexpr int kLimited = 429;
constexpr int kUnavailable = 503;
constexpr int kDecimal = 10;
constexpr std::int64_t kMaxLeaseMs = 3'600'000;
/// How often a waiting watch checks for expired leases.
constexpr std::chrono::milliseconds kExpiryInterval{20};

json ToJson(const StoredValue& aValue) {
  json object = {{"key", aValue.m_key}, {"value", aValue.m_value}, {"revision", aValue.m_revision}};
  if (aValue.m_removed) {
    object["removed"] = true;
  }
  return object;
}

std::string ToJson(const std::vector<StoredValue>& aValues, std::uint64_t aRevision) {
  json keys = json::array();
  for (const StoredValue& value : aValues) {
    keys.push_back(ToJson(value));
  }
  return json{{"revision", aRevision}, {"keys", keys}}.dump();
}

std::uint64_t NumberOf(const httplib::Request& aRequest, const char* aName) {
  return std::strtoull(aRequest.get_param_value(aName).c_str(), nullptr, kDecimal);
}

/// Counts a call. Returns false if it exceeds the limit for the current second.
bool CountCall(CallCounter& aCounter, std::int64_t aLimit, Time aNow) {
  const std::int64_t second =
    std::chrono::duration_cast<std::chrono::seconds>(aNow.time_since_epoch()).count();
  if (second != aCounter.m_second) {
    aCounter.m_second = second;
    aCounter.m_inSecond = 0;
  }
  ++aCounter.m_total;
  ++aCounter.m_inSecond;
  if (aCounter.m_inSecond > aLimit) {
    ++aCounter.m_limited;
    return false;
  }
  return true;
}

enum class CallKind { Read, Write, Watch };

/// Counts the call and sends the error response if it is rejected. Returns whether it may proceed.
bool Admit(Platform& aPlatform, CallKind aKind, httplib::Response& aResponse) {
  std::unique_lock<std::mutex> lock(aPlatform.m_mutex);
  const PlatformSwitches& switches = aPlatform.m_switches;
  const bool isWrite = aKind == CallKind::Write;
  CallCounter& counter = isWrite ? aPlatform.m_writes : aPlatform.m_reads;
  const std::int64_t limit = isWrite ? switches.m_writesPerSecond : switches.m_readsPerSecond;
  if (aKind == CallKind::Watch) {
    ++aPlatform.m_watches.m_total;
  }
  const bool isWithinLimit = CountCall(counter, limit, aPlatform.m_clock.Now());
  const Duration slow = switches.m_slow;
  if (switches.m_outage) {
    AnswerError(aResponse, kUnavailable, "outage");
    return false;
  }
  if (!isWithinLimit) {
    aResponse.set_header("Retry-After", "1");
    AnswerError(aResponse, kLimited, "rate-limited");
    return false;
  }
  lock.unlock();
  if (slow > Duration{0}) {
    std::this_thread::sleep_for(slow);
  }
  return true;
}

/// The caller holds the mutex.
bool ShouldLoseReply(Platform& aPlatform) {
  const double share = aPlatform.m_switches.m_loseReplies;
  return share > 0.0 && aPlatform.m_random.Chance(share);
}

void AnswerWrite(Platform& aPlatform, const WriteOutcome& aOutcome, httplib::Response& aResponse) {
  aPlatform.m_changed.notify_all();
  if (ShouldLoseReply(aPlatform)) {
    AnswerTruncated(aResponse);
    return;
  }
  switch (aOutcome.m_status) {
    case WriteStatus::Done:
      AnswerJson(aResponse, kOk, json{{"revision", aOutcome.m_revision}}.dump());
      return;
    case WriteStatus::Conflict: {
      json body = {{"error", "conflict"}, {"revision", aOutcome.m_revision}, {"current", nullptr}};
      if (aOutcome.m_current) {
        body["current"] = ToJson(*aOutcome.m_current);
      }
      AnswerJson(aResponse, kConflict, body.dump());
      return;
    }
    case WriteStatus::TooLarge:
      AnswerError(aResponse, kTooLarge, "value-too-large");
      return;
    case WriteStatus::UnknownLease:
      AnswerError(aResponse, kNotFound, "unknown-lease");
      return;
  }
}

void HandleGet(Platform& aPlatform, const httplib::Request& aRequest,
               httplib::Response& aResponse) {
  if (!Admit(aPlatform, CallKind::Read, aResponse)) {
    return;
  }
  const std::lock_guard<std::mutex> lock(aPlatform.m_mutex);
  aPlatform.m_store.Expire(aPlatform.m_clock.Now());
  const std::optional<StoredValue> value = aPlatform.m_store.Get(aRequest.matches[1]);
  if (!value) {
    const json body = {{"error", "not-found"}, {"revision", aPlatform.m_store.Revision()}};
    AnswerJson(aResponse, kNotFound, body.dump());
    return;
  }
  AnswerJson(aResponse, kOk, ToJson(*value).dump());
}

void HandleList(Platform& aPlatform, const httplib::Request& aRequest,
                httplib::Response& aResponse) {
  if (!Admit(aPlatform, CallKind::Read, aResponse)) {
    return;
  }
  const std::lock_guard<std::mutex> lock(aPlatform.m_mutex);
  aPlatform.m_store.Expire(aPlatform.m_clock.Now());
  const std::vector<StoredValue> values =
    aPlatform.m_store.List(aRequest.get_param_value("prefix"));
  AnswerJson(aResponse, kOk, ToJson(values, aPlatform.m_store.Revision()));
}

void HandlePut(Platform& aPlatform, const httplib::Request& aRequest,
               httplib::Response& aResponse) {
  const json body = json::parse(aRequest.body, nullptr, false);
  const bool isValid = body.is_object() && body.contains("value") && body["value"].is_string() &&
                       body.contains("expected_revision") &&
                       body["expected_revision"].is_number_unsigned();
  if (!isValid) {
    AnswerError(aResponse, kBadRequest, "invalid-body", "wants value and expected_revision");
    return;
  }
  if (!Admit(aPlatform, CallKind::Write, aResponse)) {
    return;
  }
  std::optional<std::uint64_t> lease;
  if (body.contains("lease") && body["lease"].is_number_unsigned()) {
    lease = body["lease"].get<std::uint64_t>();
  }
  const std::lock_guard<std::mutex> lock(aPlatform.m_mutex);
  aPlatform.m_store.Expire(aPlatform.m_clock.Now());
  const WriteOutcome outcome =
    aPlatform.m_store.Put(aRequest.matches[1], body["value"].get<std::string>(),
                          body["expected_revision"].get<std::uint64_t>(), lease);
  AnswerWrite(aPlatform, outcome, aResponse);
}

void HandleDelete(Platform& aPlatform, const httplib::Request& aRequest,
                  httplib::Response& aResponse) {
  if (!Admit(aPlatform, CallKind::Write, aResponse)) {
    return;
  }
  const std::lock_guard<std::mutex> lock(aPlatform.m_mutex);
  aPlatform.m_store.Expire(aPlatform.m_clock.Now());
  const WriteOutcome outcome =
    aPlatform.m_store.Remove(aRequest.matches[1], NumberOf(aRequest, "expected_revision"));
  AnswerWrite(aPlatform, outcome, aResponse);
}

void HandleWatch(Platform& aPlatform, const httplib::Request& aRequest,
                 httplib::Response& aResponse) {
  if (!Admit(aPlatform, CallKind::Watch, aResponse)) {
    return;
  }
  const std::string prefix = aRequest.get_param_value("prefix");
  const std::uint64_t after = NumberOf(aRequest, "after");
  std::unique_lock<std::mutex> lock(aPlatform.m_mutex);
  const Time end = aPlatform.m_clock.Now() +
                   Milliseconds(static_cast<std::int64_t>(NumberOf(aRequest, "wait_ms")));
  std::vector<StoredValue> changes = aPlatform.m_store.ChangesAfter(prefix, after);
  while (changes.empty() && aPlatform.m_clock.Now() < end && !aPlatform.m_stopping &&
         !aPlatform.m_switches.m_outage) {
    aPlatform.m_changed.wait_for(lock, kExpiryInterval);
    aPlatform.m_store.Expire(aPlatform.m_clock.Now());
    changes = aPlatform.m_store.ChangesAfter(prefix, after);
  }
  if (aPlatform.m_switches.m_outage) {
    AnswerError(aResponse, kUnavailable, "outage");
    return;
  }
  AnswerJson(aResponse, kOk, ToJson(changes, aPlatform.m_store.Revision()));
}

void HandleGrant(Platform& aPlatform, const httplib::Request& aRequest,
                 httplib::Response& aResponse) {
  const json body = json::parse(aRequest.body, nullptr, false);
  const bool isValid = body.is_object() && body.contains("ttl_ms") &&
                       body["ttl_ms"].is_number_unsigned() && body["ttl_ms"] <= kMaxLeaseMs;
  if (!isValid) {
    AnswerError(aResponse, kBadRequest, "invalid-body", "wants ttl_ms");
    return;
  }
  if (!Admit(aPlatform, CallKind::Write, aResponse)) {
    return;
  }
  const std::lock_guard<std::mutex> lock(aPlatform.m_mutex);
  const std::uint64_t lease = aPlatform.m_store.Grant(
    Milliseconds(body["ttl_ms"].get<std::int64_t>()), aPlatform.m_clock.Now());
  if (ShouldLoseReply(aPlatform)) {
    AnswerTruncated(aResponse);
    return;
  }
  const json reply = {{"lease", lease}, {"revision", aPlatform.m_store.Revision()}};
  AnswerJson(aResponse, kOk, reply.dump());
}

/// Renews or ends a lease.
void HandleLease(Platform& aPlatform, const httplib::Request& aRequest,
                 httplib::Response& aResponse, bool aRenew) {
  if (!Admit(aPlatform, CallKind::Write, aResponse)) {
    return;
  }
  const std::string text = aRequest.matches[1];
  const std::uint64_t lease = std::strtoull(text.c_str(), nullptr, kDecimal);
  const std::lock_guard<std::mutex> lock(aPlatform.m_mutex);
  const bool found =
    aRenew ? aPlatform.m_store.Renew(lease, aPlatform.m_clock.Now()) : aPlatform.m_store.End(lease);
  aPlatform.m_changed.notify_all();
  if (ShouldLoseReply(aPlatform)) {
    AnswerTruncated(aResponse);
  } else if (found) {
    const json reply = {{"lease", lease}, {"revision", aPlatform.m_store.Revision()}};
    AnswerJson(aResponse, kOk, reply.dump());
  } else {
    AnswerError(aResponse, kNotFound, "unknown-lease");
  }
}

} // namespace

void AddKeyValueRoutes(StandinServer& aServer, Platform& aPlatform) {
  using Request = const httplib::Request&;
  using Response = httplib::Response&;
  httplib::Server& routes = aServer.Routes();
  routes.Get("/kv", [&](Request aIn, Response aOut) { HandleList(aPlatform, aIn, aOut); });
  routes.Get("/kv/(.+)", [&](Request aIn, Response aOut) { HandleGet(aPlatform, aIn, aOut); });
  routes.Put("/kv/(.+)", [&](Request aIn, Response aOut) { HandlePut(aPlatform, aIn, aOut); });
  routes.Delete("/kv/(.+)",
                [&](Request aIn, Response aOut) { HandleDelete(aPlatform, aIn, aOut); });
  routes.Get("/watch", [&](Request aIn, Response aOut) { HandleWatch(aPlatform, aIn, aOut); });
  routes.Post("/lease", [&](Request aIn, Response aOut) { HandleGrant(aPlatform, aIn, aOut); });
  routes.Post("/lease/([0-9]+)/renew",
              [&](Request aIn, Response aOut) { HandleLease(aPlatform, aIn, aOut, true); });
  routes.Delete("/lease/([0-9]+)",
                [&](Request aIn, Response aOut) { HandleLease(aPlatform, aIn, aOut, false); });
}

} // namespace fennelline
