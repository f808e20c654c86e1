#pragma once

#include <cstdint>
#include <string>

namespace fennelline {

/// Marks an answer that the stand-in rater finds bad.
constexpr const char* kBadMarker = "[[bad]]";

/// The words that the stand-in answers to a prompt: the same prompt gets the same length, and every
/// word tells which prompt it answers.
struct Script {
  std::string m_word;
  std::int64_t m_tokens = 0;
  bool m_isBad = false;

  /// The text of tokens aFrom to aTo, one word each.
  std::string Text(std::int64_t aFrom, std::int64_t aTo) const;
};

Script MakeScript(const std::string& aPrompt, std::int64_t aMostTokens, bool aIsBad);

/// The tokens of a text, four characters each.
std::int64_t CountTokens(const std::string& aText);

} // namespace fennelline
