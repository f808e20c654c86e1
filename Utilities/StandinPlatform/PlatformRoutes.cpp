#include "Utilities/StandinPlatform/Platform.h"

#include <algorithm>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <thread>

namespace fennelline {

using nlohmann::json;

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kLimited = 429;
constexpr int kUnavailable = 503;
constexpr std::int64_t kMaxMs = 600'000;
constexpr std::int64_t kMaxRate = 1'000'000;

/// During an outage, sends an error response and returns true.
bool IsDown(Platform& aPlatform, httplib::Response& aResponse) {
  const std::lock_guard<std::mutex> lock(aPlatform.m_mutex);
  if (!aPlatform.m_switches.m_outage) {
    return false;
  }
  AnswerError(aResponse, kUnavailable, "outage");
  return true;
}

void HandleVms(Platform& aPlatform, httplib::Response& aResponse) {
  if (IsDown(aPlatform, aResponse)) {
    return;
  }
  const std::lock_guard<std::mutex> lock(aPlatform.m_mutex);
  const std::string& vms =
    aPlatform.m_vms.Get(aPlatform.m_switches.m_vmLag, aPlatform.m_clock.Now());
  AnswerJson(aResponse, kOk, "{\"vms\":" + vms + "}");
}

/// Serves one weight download at a time, each for the configured duration.
void HandleWeights(Platform& aPlatform, httplib::Response& aResponse) {
  if (IsDown(aPlatform, aResponse)) {
    return;
  }
  std::unique_lock<std::mutex> lock(aPlatform.m_mutex);
  if (aPlatform.m_waitingLoads >= aPlatform.m_switches.m_maxWaitingLoads) {
    aResponse.set_header("Retry-After", "1");
    AnswerError(aResponse, kLimited, "rate-limited", "too many loads wait");
    return;
  }
  ++aPlatform.m_waitingLoads;
  const Time start = std::max(aPlatform.m_weightsFreeAt, aPlatform.m_clock.Now());
  const Time end = start + aPlatform.m_switches.m_weightTime;
  aPlatform.m_weightsFreeAt = end;
  while (aPlatform.m_clock.Now() < end && !aPlatform.m_stopping) {
    aPlatform.m_changed.wait_for(lock, end - aPlatform.m_clock.Now());
  }
  --aPlatform.m_waitingLoads;
  AnswerJson(aResponse, kOk, "{}");
}

void HandleRating(Platform& aPlatform, const httplib::Request& aRequest,
                  httplib::Response& aResponse) {
  if (IsDown(aPlatform, aResponse)) {
    return;
  }
  const json body = json::parse(aRequest.body, nullptr, false);
  if (!body.is_object() || !body.contains("answer") || !body["answer"].is_string()) {
    AnswerError(aResponse, kBadRequest, "invalid-body", "wants kind, version, prompt and answer");
    return;
  }
  std::unique_lock<std::mutex> lock(aPlatform.m_mutex);
  const Time end = aPlatform.m_clock.Now() + aPlatform.m_switches.m_ratingDelay;
  while (aPlatform.m_clock.Now() < end && !aPlatform.m_stopping) {
    aPlatform.m_changed.wait_for(lock, end - aPlatform.m_clock.Now());
  }
  const std::string answer = body["answer"].get<std::string>();
  const bool isGood = answer.find(aPlatform.m_switches.m_badMarker) == std::string::npos;
  AnswerJson(aResponse, kOk, json{{"good", isGood}}.dump());
}

json ToJson(const CallCounter& aCounter) {
  return {{"total", aCounter.m_total}, {"limited", aCounter.m_limited}};
}

void HandleCounters(Platform& aPlatform, httplib::Response& aResponse) {
  const std::lock_guard<std::mutex> lock(aPlatform.m_mutex);
  const json body = {{"reads", ToJson(aPlatform.m_reads)},
                     {"writes", ToJson(aPlatform.m_writes)},
                     {"watches", ToJson(aPlatform.m_watches)},
                     {"revision", aPlatform.m_store.Revision()}};
  AnswerJson(aResponse, kOk, body.dump());
}

json ReadVm(FieldReader& aReader) {
  return {{"name", aReader.String("name")},
          {"address", aReader.String("address")},
          {"data_centre", aReader.String("data_centre")},
          {"role", aReader.String("role")},
          {"state", aReader.String("state", "live")}};
}

void ApplyControl(Platform& aPlatform, FieldReader& aReader) {
  const std::lock_guard<std::mutex> lock(aPlatform.m_mutex);
  PlatformSwitches& switches = aPlatform.m_switches;
  switches.m_outage = aReader.Boolean("outage", switches.m_outage);
  switches.m_slow = aReader.DurationMs("slow_ms", {0, kMaxMs}, switches.m_slow);
  switches.m_loseReplies = aReader.Number("lose_replies", {0.0, 1.0}, switches.m_loseReplies);
  switches.m_vmLag = aReader.DurationMs("vm_lag_ms", {0, kMaxMs}, switches.m_vmLag);
  switches.m_writesPerSecond =
    aReader.Integer("writes_per_second", {0, kMaxRate}, switches.m_writesPerSecond);
  switches.m_readsPerSecond =
    aReader.Integer("reads_per_second", {0, kMaxRate}, switches.m_readsPerSecond);
  switches.m_ratingDelay =
    aReader.DurationMs("rating_delay_ms", {0, kMaxMs}, switches.m_ratingDelay);
  switches.m_weightTime = aReader.DurationMs("weight_time_ms", {0, kMaxMs}, switches.m_weightTime);
  if (aReader.Has("vms")) {
    json vms = json::array();
    aReader.Objects("vms", [&vms](FieldReader& aVm) { vms.push_back(ReadVm(aVm)); });
    aPlatform.m_vms.Set(vms.dump(), aPlatform.m_clock.Now());
  }
  aPlatform.m_changed.notify_all();
}

} // namespace

void AddPlatformRoutes(StandinServer& aServer, Platform& aPlatform) {
  using Request = const httplib::Request&;
  using Response = httplib::Response&;
  httplib::Server& routes = aServer.Routes();
  routes.Get("/vms", [&](Request, Response aOut) { HandleVms(aPlatform, aOut); });
  routes.Get("/weights/(.+)", [&](Request, Response aOut) { HandleWeights(aPlatform, aOut); });
  routes.Post("/ratings", [&](Request aIn, Response aOut) { HandleRating(aPlatform, aIn, aOut); });
  routes.Get("/counters", [&](Request, Response aOut) { HandleCounters(aPlatform, aOut); });
  aServer.OnControl([&](FieldReader& aReader) { ApplyControl(aPlatform, aReader); });
  aServer.OnStop([&] {
    const std::lock_guard<std::mutex> lock(aPlatform.m_mutex);
    aPlatform.m_stopping = true;
    aPlatform.m_changed.notify_all();
  });
}

} // namespace fennelline
