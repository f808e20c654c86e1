#include "Utilities/StandinEngine/Script.h"

#include <algorithm>
#include <xxhash.h>

namespace fennelline {

namespace {

constexpr std::size_t kCharactersPerToken = 4;
constexpr std::uint64_t kWordNumbers = 10'000;
constexpr std::int64_t kShortAnswerTokens = 16;

} // namespace

std::int64_t CountTokens(const std::string& aText) {
  return static_cast<std::int64_t>((aText.size() + kCharactersPerToken - 1) / kCharactersPerToken);
}

Script MakeScript(const std::string& aPrompt, std::int64_t aMaxTokens, bool aIsBad) {
  const std::uint64_t hash = XXH64(aPrompt.data(), aPrompt.size(), 0);
  const std::int64_t minTokens =
    aMaxTokens <= kShortAnswerTokens ? aMaxTokens : (aMaxTokens + 1) / 2;
  const std::uint64_t choices = static_cast<std::uint64_t>(aMaxTokens - minTokens) + 1;
  return {.m_word = "w" + std::to_string(hash % kWordNumbers),
          .m_tokens =
            std::max<std::int64_t>(1, minTokens + static_cast<std::int64_t>(hash % choices)),
          .m_isBad = aIsBad};
}

std::string Script::Text(std::int64_t aFrom, std::int64_t aTo) const {
  std::string text;
  for (std::int64_t token = aFrom; token < aTo; ++token) {
    text += token == 0 ? "" : " ";
    text += m_isBad && token == 0 ? kBadMarker : m_word;
  }
  return text;
}

} // namespace fennelline
