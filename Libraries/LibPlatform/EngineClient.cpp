#include "LibPlatform/EngineClient.h"

#include "LibPlatform/BackendReply.h"
#include "LibPlatform/EventStreamParser.h"
#include "LibPlatform/JsonReply.h"

#include <nlohmann/json.hpp>

namespace fennelline {

using nlohmann::json;

namespace {

constexpr const char* kVersionHeader = "Fennelline-Version";
constexpr const char* kStreamEnd = "[DONE]";
// Loading weights may have to wait for the rate-limited weight store.
constexpr Duration kOrderTimeout = Seconds(120);

void ReadUsage(const json& aObject, BackendUsage& aUsage) {
  if (!aObject.contains("usage") || !aObject["usage"].is_object()) {
    return;
  }
  const json& usage = aObject["usage"];
  aUsage.m_inputTokens = usage.value("prompt_tokens", std::int64_t{0});
  aUsage.m_outputTokens = usage.value("completion_tokens", std::int64_t{0});
}

std::int64_t TokensOf(const json& aEvent) {
  return aEvent.value("tokens", std::int64_t{0});
}

/// Returns the caller's body with the model version, priority and stream mode set by the router.
std::string BodyFor(const BackendRequest& aRequest) {
  json body = JsonOrEmpty(aRequest.m_body);
  body["model"] = aRequest.m_version;
  body["priority"] = aRequest.m_priority;
  body["stream"] = aRequest.m_stream;
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

HttpRequest RequestFor(const BackendRequest& aRequest) {
  if (aRequest.m_stream && aRequest.m_resume) {
    const std::string target = "/v1/streams/" + PercentEncode(aRequest.m_attempt) +
                               "?after=" + std::to_string(aRequest.m_resumeAfter);
    return {.m_method = "GET", .m_target = target};
  }
  return {.m_method = "POST",
          .m_target = aRequest.m_path,
          .m_headers = {{"Fennelline-Attempt", aRequest.m_attempt}},
          .m_body = BodyFor(aRequest)};
}

/// Parses a response stream and forwards its events to the observer.
class StreamReader {
public:
  explicit StreamReader(const BackendObserver& aObserver)
    : m_observer(aObserver) {}

  /// Returns false if the rest of the stream is not wanted.
  bool Take(const char* aBytes, std::size_t aCount) {
    for (const StreamEvent& event : m_parser.Feed(aBytes, aCount)) {
      TakeEvent(event);
    }
    return !m_parser.HasFault();
  }
  bool HasEnded() const { return m_ended; }
  const BackendUsage& Usage() const { return m_usage; }

private:
  void TakeEvent(const StreamEvent& aEvent) {
    if (aEvent.m_data == kStreamEnd) {
      m_ended = true;
      return;
    }
    const json data = JsonOrEmpty(aEvent.m_data);
    ReadUsage(data, m_usage);
    m_observer.m_chunk("data: " + aEvent.m_data + "\n\n", aEvent.m_number, TokensOf(data));
  }

  const BackendObserver& m_observer;
  EventStreamParser m_parser;
  BackendUsage m_usage;
  bool m_ended = false;
};

void ChatStreamed(HttpTransport& aTransport, const BackendRequest& aRequest,
                  const BackendObserver& aObserver, HttpCancel& aCancel) {
  StreamReader stream(aObserver);
  HttpReceiver receiver;
  receiver.m_head = [&aObserver](const HttpReply& aHead) {
    aObserver.m_head(aHead.m_status, aHead.m_contentType);
    return true;
  };
  receiver.m_bytes = [&stream](const char* aBytes, std::size_t aCount) {
    return stream.Take(aBytes, aCount);
  };
  const HttpLimits limits{.m_readTimeout = aRequest.m_idleTimeout,
                          .m_totalTimeout = aRequest.m_timeout};
  const HttpReply reply =
    aTransport.CallStreamed(aRequest.m_address, RequestFor(aRequest), limits, receiver, aCancel);
  if (stream.HasEnded()) {
    BackendUsage usage = stream.Usage();
    usage.m_version = FindHeader(reply, kVersionHeader);
    aObserver.m_finished(usage);
    return;
  }
  ReportFailure(reply, aRequest.m_resume, aObserver);
}

void ChatBuffered(HttpTransport& aTransport, const BackendRequest& aRequest,
                  const BackendObserver& aObserver, HttpCancel& aCancel) {
  const HttpReply reply = CallBuffered(aTransport, aRequest, RequestFor(aRequest), aCancel);
  if (!IsSuccess(reply)) {
    ReportFailure(reply, false, aObserver);
    return;
  }
  BackendUsage usage;
  ReadUsage(JsonOrEmpty(reply.m_body), usage);
  usage.m_version = FindHeader(reply, kVersionHeader);
  aObserver.m_head(reply.m_status, reply.m_contentType);
  aObserver.m_chunk(reply.m_body, 0, usage.m_outputTokens);
  aObserver.m_finished(usage);
}

std::vector<std::uint64_t> ReadHashes(const json& aBody, const char* aName) {
  std::vector<std::uint64_t> hashes;
  for (const json& hash : aBody.value(aName, json::array())) {
    hashes.push_back(std::stoull(hash.get<std::string>()));
  }
  return hashes;
}

} // namespace

EngineClient::EngineClient(HttpTransport& aTransport, Duration aTimeout)
  : m_transport(aTransport)
  , m_timeout(aTimeout) {}

void EngineClient::Chat(const BackendRequest& aRequest, const BackendObserver& aObserver,
                        HttpCancel& aCancel) {
  if (aRequest.m_stream) {
    ChatStreamed(m_transport, aRequest, aObserver, aCancel);
  } else {
    ChatBuffered(m_transport, aRequest, aObserver, aCancel);
  }
}

void EngineClient::CancelStream(const std::string& aAddress, const std::string& aAttempt) {
  const HttpRequest request{.m_method = "DELETE",
                            .m_target = "/v1/streams/" + PercentEncode(aAttempt)};
  m_transport.Call(aAddress, request, {.m_readTimeout = m_timeout, .m_totalTimeout = m_timeout});
}

Result<BackendLoad> EngineClient::Load(const std::string& aAddress) {
  return ReadLoad(m_transport, aAddress, m_timeout);
}

Result<EngineCacheEvents> EngineClient::CacheEvents(const std::string& aAddress,
                                                    std::uint64_t aAfter, Duration aWait) {
  const HttpRequest request{.m_target = "/cache-events?after=" + std::to_string(aAfter) +
                                        "&wait_ms=" + std::to_string(InMilliseconds(aWait))};
  const Duration limit = m_timeout + aWait;
  const json body = TRY(ParseJsonReply(
    m_transport.Call(aAddress, request, {.m_readTimeout = limit, .m_totalTimeout = limit})));
  EngineCacheEvents events;
  try {
    events.m_next = body.value("next", std::uint64_t{0});
    events.m_gap = body.value("gap", false);
    events.m_added = ReadHashes(body, "added");
    events.m_removed = ReadHashes(body, "removed");
  } catch (const std::exception& exception) {
    return MakeError(ErrorCode::InvalidField, exception.what());
  }
  return events;
}

Result<std::vector<std::string>> EngineClient::Order(const std::string& aAddress,
                                                     EngineOrder aOrder,
                                                     const std::string& aVersion,
                                                     std::uint64_t aFence) {
  const json order = {{"order", aOrder == EngineOrder::Load ? "load" : "unload"},
                      {"version", aVersion},
                      {"fence", aFence}};
  const HttpRequest request{.m_method = "POST", .m_target = "/orders", .m_body = order.dump()};
  const json body = TRY(ParseJsonReply(m_transport.Call(
    aAddress, request, {.m_readTimeout = kOrderTimeout, .m_totalTimeout = kOrderTimeout})));
  try {
    return body.value("versions", std::vector<std::string>());
  } catch (const json::exception& exception) {
    return MakeError(ErrorCode::InvalidField, exception.what());
  }
}

} // namespace fennelline
