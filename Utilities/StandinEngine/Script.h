#pragma once

#include <cstdint>
#include <string>

namespace fennelline {

/// Marks an answer that the stand-in rating service rates as bad.
constexpr const char* kBadMarker = "[[bad]]";

/// The scripted answer to a prompt. The same prompt always gets the same length, and every word is
/// derived from the prompt, so that an answer can be matched to it.
struct Script {
  std::string m_word;
  std::int64_t m_tokens = 0;
  bool m_isBad = false;

  /// Returns the text of tokens aFrom to aTo (exclusive), one word per token.
  std::string Text(std::int64_t aFrom, std::int64_t aTo) const;
};

Script MakeScript(const std::string& aPrompt, std::int64_t aMaxTokens, bool aIsBad);

/// Counts the tokens of a text, at four characters per token.
std::int64_t CountTokens(const std::string& aText);

} // namespace fennelline
