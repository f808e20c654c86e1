#pragma once

#include "LibBase/Error.h"

#include <string>
#include <vector>

namespace fennelline {

/// A session as its token tells it.
struct SessionToken {
  std::string m_name;
  /// Such as "tagger@3".
  std::string m_version;

  friend bool operator==(const SessionToken&, const SessionToken&) = default;
};

/// Signs and checks session tokens, "NAME.VERSION.SIGNATURE". The name and the version are written
/// so that they contain no dot; the signature is an HMAC over both and the customer, so a token is
/// of no use to another customer. Any entry with the keys honours a token without a look-up.
class SessionTokens {
public:
  /// Signs with the first key and accepts all of them, so that keys can be rotated. A call without
  /// keys makes every check fail.
  explicit SessionTokens(std::vector<std::string> aKeys);

  std::string Sign(const std::string& aCustomer, const SessionToken& aToken) const;

  /// The session of a token that was signed for this customer; Unauthorized for any other text.
  Result<SessionToken> Verify(const std::string& aCustomer, const std::string& aText) const;

  /// Whether the text has the form of a token rather than of a bare session name.
  static bool LooksLikeToken(const std::string& aText);

private:
  std::vector<std::string> m_keys;
};

} // namespace fennelline
