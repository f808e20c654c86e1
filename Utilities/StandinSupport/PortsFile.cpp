#include "Utilities/StandinSupport/PortsFile.h"

#include <cstdio>
#include <fstream>

namespace fennelline {

Result<void> WritePortsFile(const std::string& aPath, int aPort) {
  if (aPath.empty()) {
    return {};
  }
  const std::string temporaryPath = aPath + ".new";
  std::ofstream file(temporaryPath);
  file << "{\"port\": " << aPort << "}\n";
  file.close();
  if (!file || std::rename(temporaryPath.c_str(), aPath.c_str()) != 0) {
    return MakeError(ErrorCode::Io, "cannot write " + aPath);
  }
  return {};
}

} // namespace fennelline
