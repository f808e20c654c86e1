#pragma once

#include "LibBase/Error.h"
#include "LibPlatform/HttpTransport.h"

#include <string>
#include <vector>

namespace fennelline {

/// Sends authenticated GET requests to the admin ports of entries.
class AdminClient {
public:
  AdminClient(HttpTransport& aTransport, std::string aSecret);

  /// Returns the body of a 200 response. The error names the address and how to fix the cause.
  Result<std::string> Get(const std::string& aAddress, const std::string& aTarget);

private:
  HttpTransport& m_transport;
  std::string m_secret;
};

/// Reads an entire file, or standard input for "-".
Result<std::string> ReadInput(const std::string& aPath);

/// Reads a shared secret from the first line of a file.
Result<std::string> ReadSecret(const std::string& aPath);

/// Splits a comma-separated list and omits empty items.
std::vector<std::string> SplitList(const std::string& aText);

} // namespace fennelline
