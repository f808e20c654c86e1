#pragma once

#include "LibBase/Error.h"

#include <string>
#include <vector>

namespace fennelline {

/// The content of a session token.
struct SessionToken {
  std::string m_name;
  /// For example "tagger@3".
  std::string m_version;

  friend bool operator==(const SessionToken&, const SessionToken&) = default;
};

/// Signs and verifies session tokens, "NAME.VERSION.SIGNATURE". The name and the version are
/// escaped so that they contain no dot. The signature is an HMAC over both and the customer, so a
/// token is not valid for another customer. Any entry with the keys can verify a token without a
/// lookup.
class SessionTokens {
public:
  /// Signs with the first key and accepts all of them, so that keys can be rotated. Without keys,
  /// every verification fails.
  explicit SessionTokens(std::vector<std::string> aKeys);

  std::string Sign(const std::string& aCustomer, const SessionToken& aToken) const;

  /// Returns the content of a token that was signed for this customer, or Unauthorized.
  Result<SessionToken> Verify(const std::string& aCustomer, const std::string& aText) const;

  /// Whether the text has the form of a token rather than of a bare session name.
  static bool LooksLikeToken(const std::string& aText);

private:
  std::vector<std::string> m_keys;
};

} // namespace fennelline
