#include "Utilities/StandinEngine/EngineServer.h"

#include <cstdlib>
#include <httplib.h>
#include <nlohmann/json.hpp>

namespace fennelline {

using nlohmann::json;

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kUnavailable = 503;
constexpr int kDecimal = 10;
constexpr std::int64_t kDefaultTokens = 64;
constexpr std::int64_t kMaxTokens = 100'000;
/// An idle stream sends a comment this often, so that the receiver can treat silence as a lost
/// connection.
constexpr std::chrono::milliseconds kKeepAliveInterval{500};

/// Returns the contents of all messages joined by line feeds.
std::string PromptOf(const json& aBody) {
  std::string prompt;
  bool isFirst = true;
  for (const json& message : aBody.at("messages")) {
    prompt += isFirst ? "" : "\n";
    prompt += message.at("content").get<std::string>();
    isFirst = false;
  }
  return prompt;
}

Result<ChatRequest> ParseChat(const httplib::Request& aRequest) {
  const json body = json::parse(aRequest.body, nullptr, false);
  if (!body.is_object()) {
    return MakeError(ErrorCode::InvalidJson, "the body is no JSON object");
  }
  ChatRequest chat;
  try {
    chat.m_attempt = aRequest.get_header_value("Fennelline-Attempt");
    chat.m_version = body.at("model").get<std::string>();
    chat.m_prompt = PromptOf(body);
    chat.m_body = aRequest.body;
    chat.m_maxTokens =
      std::clamp<std::int64_t>(body.value("max_tokens", kDefaultTokens), 1, kMaxTokens);
    chat.m_priority = body.value("priority", 0);
  } catch (const json::exception& exception) {
    return MakeError(ErrorCode::InvalidField, exception.what());
  }
  if (chat.m_attempt.empty()) {
    return MakeError(ErrorCode::MissingField, "the header Fennelline-Attempt is missing");
  }
  return chat;
}

/// Blocks while the engine is silent. Returns false if the engine stops first and no response may
/// be sent. The caller holds the mutex.
bool WaitWhileSilent(Engine& aEngine, std::unique_lock<std::mutex>& aLock) {
  aEngine.m_changed.wait(aLock, [&] { return !aEngine.m_switches.m_silent || aEngine.m_stopping; });
  return !aEngine.m_switches.m_silent;
}

/// Sends the events of a stream after a given number, and keep-alive comments in between.
class EventSender {
public:
  EventSender(Engine& aEngine, std::shared_ptr<Stream> aStream, std::uint64_t aAfter)
    : m_engine(aEngine)
    , m_stream(std::move(aStream))
    , m_sent(aAfter) {}

  /// Content provider callback: sends the available events. Returns false to close the connection.
  bool Send(httplib::DataSink& aSink) {
    const Outcome outcome = Next();
    if (!outcome.m_isAlive || !aSink.write(outcome.m_text.data(), outcome.m_text.size())) {
      return false;
    }
    if (outcome.m_isLast) {
      aSink.done();
    }
    return true;
  }

private:
  struct Outcome {
    std::string m_text;
    bool m_isLast = false;
    bool m_isAlive = true;
  };

  Outcome Next() {
    std::unique_lock<std::mutex> lock(m_engine.m_mutex);
    m_engine.m_changed.wait_for(lock, kKeepAliveInterval, [this] {
      return m_stream->m_eventEnds.size() > m_sent || m_stream->HasEnded();
    });
    if (!WaitWhileSilent(m_engine, lock) || m_stream->m_state == StreamState::Cancelled) {
      return {.m_isAlive = false};
    }
    Outcome outcome;
    while (m_sent < m_stream->m_eventEnds.size()) {
      ++m_sent;
      outcome.m_text += EventText(*m_stream, m_sent);
    }
    if (m_stream->m_state == StreamState::Finished) {
      outcome.m_text += EndingText(*m_stream);
      outcome.m_isLast = true;
    }
    if (outcome.m_text.empty()) {
      outcome.m_text = ": waiting\n\n";
    }
    return outcome;
  }

  Engine& m_engine;
  std::shared_ptr<Stream> m_stream;
  std::uint64_t m_sent;
};

void AnswerStream(Engine& aEngine, const std::shared_ptr<Stream>& aStream, std::uint64_t aAfter,
                  httplib::Response& aResponse) {
  const std::shared_ptr<EventSender> sender =
    std::make_shared<EventSender>(aEngine, aStream, aAfter);
  aResponse.status = kOk;
  aResponse.set_header("Fennelline-Version", aStream->m_version);
  aResponse.set_chunked_content_provider(
    "text/event-stream",
    [sender](std::size_t, httplib::DataSink& aSink) { return sender->Send(aSink); });
}

void AnswerComplete(Engine& aEngine, const std::shared_ptr<Stream>& aStream,
                    httplib::Response& aResponse) {
  std::unique_lock<std::mutex> lock(aEngine.m_mutex);
  aEngine.m_changed.wait(lock, [&] { return aStream->HasEnded(); });
  if (!WaitWhileSilent(aEngine, lock) || aStream->m_state == StreamState::Cancelled) {
    AnswerTruncated(aResponse);
    return;
  }
  aResponse.set_header("Fennelline-Version", aStream->m_version);
  AnswerJson(aResponse, kOk, CompleteBody(*aStream));
}

void HandleChat(Engine& aEngine, const httplib::Request& aRequest, httplib::Response& aResponse) {
  Result<ChatRequest> chat = ParseChat(aRequest);
  if (chat.IsError()) {
    AnswerError(aResponse, kBadRequest, "invalid-request", chat.GetError().m_detail);
    return;
  }
  std::shared_ptr<Stream> stream;
  switch (aEngine.Submit(chat.Get(), stream)) {
    case SubmitStatus::VersionNotLoaded:
      AnswerError(aResponse, kNotFound, "version-not-loaded", chat.Get().m_version);
      return;
    case SubmitStatus::Refused:
      AnswerError(aResponse, kUnavailable, "not-run");
      return;
    case SubmitStatus::KnownAttempt:
      AnswerError(aResponse, kConflict, "known-attempt");
      return;
    case SubmitStatus::Accepted:
      break;
  }
  const json body = json::parse(aRequest.body, nullptr, false);
  const bool isStreamed = body.contains("stream") && body["stream"] == true;
  if (isStreamed) {
    AnswerStream(aEngine, stream, 0, aResponse);
  } else {
    AnswerComplete(aEngine, stream, aResponse);
  }
}

void HandleResume(Engine& aEngine, const httplib::Request& aRequest, httplib::Response& aResponse) {
  const std::shared_ptr<Stream> stream = aEngine.Find(aRequest.matches[1]);
  const std::uint64_t after =
    std::strtoull(aRequest.get_param_value("after").c_str(), nullptr, kDecimal);
  if (stream == nullptr) {
    AnswerError(aResponse, kNotFound, "stream-gone");
    return;
  }
  AnswerStream(aEngine, stream, after, aResponse);
}

void HandleCancel(Engine& aEngine, const httplib::Request& aRequest, httplib::Response& aResponse) {
  if (aEngine.Cancel(aRequest.matches[1])) {
    AnswerJson(aResponse, kOk, "{}");
  } else {
    AnswerError(aResponse, kNotFound, "stream-gone");
  }
}

} // namespace

void AddChatRoutes(StandinServer& aServer, Engine& aEngine) {
  using Request = const httplib::Request&;
  using Response = httplib::Response&;
  httplib::Server& routes = aServer.Routes();
  routes.Post("/v1/chat/completions",
              [&](Request aIn, Response aOut) { HandleChat(aEngine, aIn, aOut); });
  routes.Get("/v1/streams/(.+)",
             [&](Request aIn, Response aOut) { HandleResume(aEngine, aIn, aOut); });
  routes.Delete("/v1/streams/(.+)",
                [&](Request aIn, Response aOut) { HandleCancel(aEngine, aIn, aOut); });
}

} // namespace fennelline
