#include "LibCoordination/Session/SessionTokens.h"

#include "LibBase/Sha256.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <optional>
#include <utility>

namespace fennelline {

namespace {

constexpr const char* kHexDigits = "0123456789abcdef";
constexpr std::size_t kSignatureLength = 64;
constexpr int kHexBase = 16;

bool IsUnreserved(char aByte) {
  return std::isalnum(static_cast<unsigned char>(aByte)) != 0 || aByte == '-' || aByte == '_' ||
         aByte == '@';
}

/// Percent-encodes all bytes except letters, digits, "-", "_" and "@".
std::string Escape(const std::string& aText) {
  std::string escaped;
  for (const char byte : aText) {
    if (IsUnreserved(byte)) {
      escaped += byte;
      continue;
    }
    const auto value = static_cast<unsigned char>(byte);
    escaped += '%';
    escaped += kHexDigits[value / kHexBase];
    escaped += kHexDigits[value % kHexBase];
  }
  return escaped;
}

std::optional<int> HexValue(char aDigit) {
  const std::string_view digits = kHexDigits;
  const std::size_t position = digits.find(aDigit);
  if (position == std::string_view::npos) {
    return std::nullopt;
  }
  return static_cast<int>(position);
}

/// Returns null for a text that Escape() would not produce.
std::optional<std::string> Unescape(const std::string& aText) {
  std::string plain;
  for (std::size_t at = 0; at < aText.size(); ++at) {
    if (aText[at] != '%') {
      plain += aText[at];
      continue;
    }
    if (at + 2 >= aText.size()) {
      return std::nullopt;
    }
    const std::optional<int> high = HexValue(aText[at + 1]);
    const std::optional<int> low = HexValue(aText[at + 2]);
    if (!high || !low) {
      return std::nullopt;
    }
    plain += static_cast<char>(*high * kHexBase + *low);
    at += 2;
  }
  return Escape(plain) == aText ? std::optional(plain) : std::nullopt;
}

std::string Signature(const std::string& aKey, const std::string& aCustomer,
                      const std::string& aName, const std::string& aVersion) {
  return HmacSha256Hex(aKey, "session." + Escape(aCustomer) + "." + aName + "." + aVersion);
}

/// The three parts of a token, still escaped.
struct TokenText {
  std::string m_name;
  std::string m_version;
  std::string m_signature;
};

std::optional<TokenText> Split(const std::string& aText) {
  const std::size_t first = aText.find('.');
  if (first == std::string::npos) {
    return std::nullopt;
  }
  const std::size_t second = aText.find('.', first + 1);
  if (second == std::string::npos || aText.size() - second - 1 != kSignatureLength) {
    return std::nullopt;
  }
  return TokenText{.m_name = aText.substr(0, first),
                   .m_version = aText.substr(first + 1, second - first - 1),
                   .m_signature = aText.substr(second + 1)};
}

Error InvalidToken() {
  return MakeError(ErrorCode::Unauthorized, "the session token was not signed for this customer");
}

} // namespace

SessionTokens::SessionTokens(std::vector<std::string> aKeys)
  : m_keys(std::move(aKeys)) {}

std::string SessionTokens::Sign(const std::string& aCustomer, const SessionToken& aToken) const {
  const std::string name = Escape(aToken.m_name);
  const std::string version = Escape(aToken.m_version);
  const std::string key = m_keys.empty() ? std::string() : m_keys.front();
  return name + "." + version + "." + Signature(key, aCustomer, name, version);
}

Result<SessionToken> SessionTokens::Verify(const std::string& aCustomer,
                                           const std::string& aText) const {
  const std::optional<TokenText> text = Split(aText);
  if (!text) {
    return InvalidToken();
  }
  const bool isSigned = std::any_of(m_keys.begin(), m_keys.end(), [&](const std::string& aKey) {
    const std::string expected = Signature(aKey, aCustomer, text->m_name, text->m_version);
    return EqualInConstantTime(expected, text->m_signature);
  });
  const std::optional<std::string> name = Unescape(text->m_name);
  const std::optional<std::string> version = Unescape(text->m_version);
  if (!isSigned || !name || !version) {
    return InvalidToken();
  }
  return SessionToken{.m_name = *name, .m_version = *version};
}

bool SessionTokens::LooksLikeToken(const std::string& aText) {
  return Split(aText).has_value();
}

} // namespace fennelline
