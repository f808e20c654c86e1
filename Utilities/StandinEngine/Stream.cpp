#include "Utilities/StandinEngine/Stream.h"

#include <nlohmann/json.hpp>

namespace fennelline {

using nlohmann::json;

namespace {

json UsageOf(const Stream& aStream) {
  return {{"prompt_tokens", aStream.m_promptTokens},
          {"completion_tokens", aStream.m_done},
          {"total_tokens", aStream.m_promptTokens + aStream.m_done}};
}

json ChunkOf(const Stream& aStream, const json& aChoices) {
  return {{"id", aStream.m_attempt},
          {"object", "chat.completion.chunk"},
          {"model", aStream.m_version},
          {"choices", aChoices}};
}

std::string FormatEvent(std::uint64_t aNumber, const std::string& aData) {
  return "id: " + std::to_string(aNumber) + "\ndata: " + aData + "\n\n";
}

} // namespace

std::string CompleteBody(const Stream& aStream) {
  const json message = {{"role", "assistant"},
                        {"content", aStream.m_script.Text(0, aStream.m_done)}};
  const json choice = {{"index", 0}, {"message", message}, {"finish_reason", "stop"}};
  const json body = {{"id", aStream.m_attempt},
                     {"object", "chat.completion"},
                     {"model", aStream.m_version},
                     {"choices", json::array({choice})},
                     {"usage", UsageOf(aStream)}};
  return body.dump();
}

std::string EventText(const Stream& aStream, std::uint64_t aNumber) {
  const std::int64_t from = aNumber == 1 ? 0 : aStream.m_eventEnds[aNumber - 2];
  const std::int64_t to = aStream.m_eventEnds[aNumber - 1];
  const json choice = {{"index", 0},
                       {"delta", {{"content", aStream.m_script.Text(from, to)}}},
                       {"finish_reason", nullptr}};
  json chunk = ChunkOf(aStream, json::array({choice}));
  chunk["tokens"] = to - from;
  return FormatEvent(aNumber, chunk.dump());
}

std::string EndingText(const Stream& aStream) {
  const json choice = {{"index", 0}, {"delta", json::object()}, {"finish_reason", "stop"}};
  json chunk = ChunkOf(aStream, json::array({choice}));
  chunk["usage"] = UsageOf(aStream);
  const std::uint64_t number = aStream.m_eventEnds.size() + 1;
  return FormatEvent(number, chunk.dump()) + FormatEvent(number + 1, "[DONE]");
}

} // namespace fennelline
