#include "Utilities/StandinService/Service.h"

#include <chrono>
#include <cstdlib>
#include <httplib.h>
#include <nlohmann/json.hpp>

namespace fennelline {

using nlohmann::json;

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
constexpr std::int64_t kMaxMs = 600'000;
constexpr std::int64_t kInitialStock = 1000;
constexpr std::int64_t kBaseQuoteAmount = 900;
constexpr int kCrashExitCode = 134;

std::string ItemOf(const std::string& aBody) {
  const json body = json::parse(aBody, nullptr, false);
  if (!body.is_object() || !body.contains("item") || !body["item"].is_string()) {
    return "item";
  }
  return body["item"].get<std::string>();
}

/// Performs an operation; returns null if it is unknown. The caller holds the mutex.
json Perform(Service& aService, const std::string& aOperation, const std::string& aItem) {
  std::int64_t& stock = aService.m_stock.try_emplace(aItem, kInitialStock).first->second;
  ++aService.m_answered;
  if (aOperation == "stock") {
    return {{"item", aItem}, {"available", stock}};
  }
  if (aOperation == "reserve") {
    --stock;
    return {{"item", aItem}, {"reservation", "R" + std::to_string(aService.m_answered)}};
  }
  if (aOperation == "quote") {
    return {{"item", aItem},
            {"quote", "Q" + std::to_string(aService.m_answered)},
            {"amount", kBaseQuoteAmount + aService.m_answered}};
  }
  return nullptr;
}

/// Waits for a free slot and occupies it for the duration of the operation.
void OccupySlot(Service& aService, std::unique_lock<std::mutex>& aLock) {
  ++aService.m_waiting;
  aService.m_changed.wait(aLock, [&] { return aService.m_running < aService.m_slots; });
  --aService.m_waiting;
  ++aService.m_running;
  const Time end = aService.m_clock.Now() + aService.m_workTime + aService.m_slow;
  while (aService.m_clock.Now() < end && !aService.m_stopping) {
    aService.m_changed.wait_for(aLock, end - aService.m_clock.Now());
  }
}

void HandleOperation(Service& aService, const httplib::Request& aRequest,
                     httplib::Response& aResponse) {
  const std::string operation = aRequest.matches[2];
  const std::string attempt = aRequest.get_header_value("Fennelline-Attempt");
  std::unique_lock<std::mutex> lock(aService.m_mutex);
  if (aRequest.matches[1] != aService.m_name) {
    AnswerError(aResponse, kNotFound, "unknown-service");
    return;
  }
  if (aService.m_refuse) {
    aService.m_journal.Add(attempt, operation, aRequest.body, "refused");
    AnswerError(aResponse, kUnavailable, "not-run");
    return;
  }
  const std::size_t run = aService.m_journal.Add(attempt, operation, aRequest.body, "running");
  const std::string& marker = aService.m_crashMarker;
  if (!marker.empty() && aRequest.body.find(marker) != std::string::npos) {
    std::_Exit(kCrashExitCode);
  }
  OccupySlot(aService, lock);
  const json answer = Perform(aService, operation, ItemOf(aRequest.body));
  --aService.m_running;
  aService.m_journal.SetState(run, "finished");
  aService.m_changed.notify_all();
  aService.m_changed.wait(lock, [&] { return !aService.m_silent || aService.m_stopping; });
  if (answer.is_null()) {
    AnswerError(aResponse, kNotFound, "unknown-operation");
    return;
  }
  AnswerJson(aResponse, kOk, answer.dump());
}

void HandleLoad(Service& aService, httplib::Response& aResponse) {
  const std::lock_guard<std::mutex> lock(aService.m_mutex);
  const json body = {{"running", aService.m_running},
                     {"queued", aService.m_waiting},
                     {"queued_tokens", 0},
                     {"tokens_per_second", 0.0},
                     {"slots", aService.m_slots},
                     {"leaving", aService.m_leaving}};
  AnswerJson(aResponse, kOk, body.dump());
}

void ApplyControl(Service& aService, FieldReader& aReader) {
  const std::lock_guard<std::mutex> lock(aService.m_mutex);
  aService.m_leaving = aReader.Boolean("leaving", aService.m_leaving);
  aService.m_silent = aReader.Boolean("silent", aService.m_silent);
  aService.m_refuse = aReader.Boolean("refuse", aService.m_refuse);
  aService.m_slow = aReader.DurationMs("slow_ms", {0, kMaxMs}, aService.m_slow);
  aService.m_crashMarker = aReader.String("crash_marker", aService.m_crashMarker);
  aService.m_changed.notify_all();
}

} // namespace

void AddServiceRoutes(StandinServer& aServer, Service& aService) {
  using Request = const httplib::Request&;
  using Response = httplib::Response&;
  httplib::Server& routes = aServer.Routes();
  routes.Post("/v1/services/([^/]+)/([^/]+)",
              [&](Request aIn, Response aOut) { HandleOperation(aService, aIn, aOut); });
  routes.Get("/load", [&](Request, Response aOut) { HandleLoad(aService, aOut); });
  routes.Get("/journal",
             [&](Request, Response aOut) { AnswerJson(aOut, kOk, aService.m_journal.ToJson()); });
  aServer.OnControl([&](FieldReader& aReader) { ApplyControl(aService, aReader); });
  aServer.OnStop([&] {
    const std::lock_guard<std::mutex> lock(aService.m_mutex);
    aService.m_stopping = true;
    aService.m_changed.notify_all();
  });
}

} // namespace fennelline
