#pragma once

#include "LibBase/Error.h"
#include "LibPlatform/HttpTransport.h"

#include <string>
#include <vector>

namespace fennelline {

/// Reads from the entries' admin ports.
class AdminClient {
public:
  AdminClient(HttpTransport& aTransport, std::string aSecret);

  /// The body of a 200 answer. The error names the address and the remedy.
  Result<std::string> Get(const std::string& aAddress, const std::string& aTarget);

private:
  HttpTransport& m_transport;
  std::string m_secret;
};

/// Reads a whole file, or standard input for "-".
Result<std::string> ReadInput(const std::string& aPath);

/// Reads the first line of a file with a shared secret.
Result<std::string> ReadSecret(const std::string& aPath);

/// The parts between commas; empty parts are left out.
std::vector<std::string> SplitList(const std::string& aText);

} // namespace fennelline
