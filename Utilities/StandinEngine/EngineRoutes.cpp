#include "LibPlatform/WeightStoreClient.h"
#include "Utilities/StandinEngine/EngineServer.h"

#include <cstdlib>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <thread>

namespace fennelline {

using nlohmann::json;

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kPreconditionFailed = 412;
constexpr int kUnavailable = 503;
constexpr int kDecimal = 10;
constexpr std::int64_t kMaxMs = 600'000;
constexpr double kMaxPace = 1'000.0;
constexpr Duration kWeightsTimeout = Seconds(60);

void HandleLoad(Engine& aEngine, httplib::Response& aResponse) {
  const EngineReport report = aEngine.Report();
  const std::lock_guard<std::mutex> lock(aEngine.m_mutex);
  const json body = {{"running", report.m_running},
                     {"queued", report.m_queued},
                     {"queued_tokens", report.m_queuedTokens},
                     {"tokens_per_second", report.m_tokensPerSecond},
                     {"slots", aEngine.Options().m_slots},
                     {"versions", aEngine.m_versions},
                     {"leaving", report.m_leaving}};
  AnswerJson(aResponse, kOk, body.dump());
}

json HashTexts(const std::vector<std::uint64_t>& aHashes) {
  json texts = json::array();
  for (const std::uint64_t hash : aHashes) {
    texts.push_back(std::to_string(hash));
  }
  return texts;
}

void HandleCacheEvents(Engine& aEngine, const httplib::Request& aRequest,
                       httplib::Response& aResponse) {
  const std::uint64_t after =
    std::strtoull(aRequest.get_param_value("after").c_str(), nullptr, kDecimal);
  const std::int64_t wait =
    std::strtoll(aRequest.get_param_value("wait_ms").c_str(), nullptr, kDecimal);
  const CacheChanges changes =
    aEngine.CacheChangesAfter(after, Milliseconds(std::clamp<std::int64_t>(wait, 0, kMaxMs)));
  const json body = {{"next", changes.m_next},
                     {"gap", changes.m_gap},
                     {"added", HashTexts(changes.m_added)},
                     {"removed", HashTexts(changes.m_removed)}};
  AnswerJson(aResponse, kOk, body.dump());
}

/// Fetches weights from the weight store, or sleeps for the load time if there is none.
Result<void> FetchWeights(const Engine& aEngine, const std::string& aVersion) {
  const EngineOptions& options = aEngine.Options();
  if (options.m_platformAddress.empty()) {
    std::this_thread::sleep_for(options.m_loadTime);
    return {};
  }
  HttpTransport transport;
  WeightStoreClient store(transport, options.m_platformAddress, kWeightsTimeout);
  return store.Fetch(aVersion);
}

/// Checks the fencing token of an order. The caller holds the mutex.
bool PassesFence(Engine& aEngine, std::uint64_t aFence) {
  if (aEngine.m_checksFence && aFence < aEngine.m_highestFence) {
    return false;
  }
  aEngine.m_highestFence = std::max(aEngine.m_highestFence, aFence);
  return true;
}

void AnswerVersions(Engine& aEngine, httplib::Response& aResponse) {
  AnswerJson(aResponse, kOk, json{{"versions", aEngine.m_versions}}.dump());
}

void HandleOrder(Engine& aEngine, const httplib::Request& aRequest, httplib::Response& aResponse) {
  const json body = json::parse(aRequest.body, nullptr, false);
  const bool isValid = body.is_object() && body.contains("order") && body.contains("version") &&
                       body["version"].is_string() && body.contains("fence") &&
                       body["fence"].is_number_unsigned() &&
                       (body["order"] == "load" || body["order"] == "unload");
  if (!isValid) {
    AnswerError(aResponse, kBadRequest, "invalid-order", "wants order, version and fence");
    return;
  }
  const std::string version = body["version"].get<std::string>();
  std::unique_lock<std::mutex> lock(aEngine.m_mutex);
  if (!PassesFence(aEngine, body["fence"].get<std::uint64_t>())) {
    AnswerError(aResponse, kPreconditionFailed, "old-fence",
                std::to_string(aEngine.m_highestFence));
    return;
  }
  if (body["order"] == "unload") {
    aEngine.m_versions.erase(version);
  } else if (!aEngine.m_versions.contains(version)) {
    lock.unlock();
    const Result<void> fetched = FetchWeights(aEngine, version);
    if (fetched.IsError()) {
      AnswerError(aResponse, kUnavailable, "no-weights", fetched.GetError().m_detail);
      return;
    }
    lock.lock();
    aEngine.m_versions.insert(version);
  }
  AnswerVersions(aEngine, aResponse);
}

/// Reads {VERSION: NUMBER}; omitted versions keep their values.
void ReadNumbers(FieldReader& aReader, const std::string& aName, Range<double> aRange,
                 const std::set<std::string>& aVersions, std::map<std::string, double>& aNumbers) {
  aReader.Object(aName, [&](FieldReader& aObject) {
    for (const std::string& version : aVersions) {
      if (aObject.Has(version)) {
        aNumbers[version] = aObject.Number(version, aRange);
      }
    }
  });
}

void ApplyControl(Engine& aEngine, FieldReader& aReader) {
  const std::lock_guard<std::mutex> lock(aEngine.m_mutex);
  EngineSwitches& switches = aEngine.m_switches;
  ReadNumbers(aReader, "bad_rate", {0.0, 1.0}, aEngine.m_versions, switches.m_badRate);
  ReadNumbers(aReader, "pace", {0.0, kMaxPace}, aEngine.m_versions, switches.m_pace);
  switches.m_crashMarker = aReader.String("crash_marker", switches.m_crashMarker);
  switches.m_leaving = aReader.Boolean("leaving", switches.m_leaving);
  switches.m_silent = aReader.Boolean("silent", switches.m_silent);
  switches.m_refuse = aReader.Boolean("refuse", switches.m_refuse);
  aEngine.m_checksFence = !aReader.Boolean("ignore_fence", !aEngine.m_checksFence);
  if (aReader.Boolean("drop_cache_events", false)) {
    aEngine.DropPendingChanges();
  }
  aEngine.m_changed.notify_all();
}

} // namespace

void AddEngineRoutes(StandinServer& aServer, Engine& aEngine) {
  using Request = const httplib::Request&;
  using Response = httplib::Response&;
  httplib::Server& routes = aServer.Routes();
  routes.Get("/load", [&](Request, Response aOut) { HandleLoad(aEngine, aOut); });
  routes.Get("/cache-events",
             [&](Request aIn, Response aOut) { HandleCacheEvents(aEngine, aIn, aOut); });
  routes.Post("/orders", [&](Request aIn, Response aOut) { HandleOrder(aEngine, aIn, aOut); });
  routes.Get("/journal",
             [&](Request, Response aOut) { AnswerJson(aOut, kOk, aEngine.m_journal.ToJson()); });
  aServer.OnControl([&](FieldReader& aReader) { ApplyControl(aEngine, aReader); });
  aServer.OnStop([&] { aEngine.Stop(); });
}

} // namespace fennelline
