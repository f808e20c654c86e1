#include "Utilities/StandinSupport/PortsFile.h"

#include <cstdio>
#include <fstream>

namespace fennelline {

Result<void> WritePortsFile(const std::string& aPath, int aPort) {
  if (aPath.empty()) {
    return {};
  }
  const std::string draft = aPath + ".new";
  std::ofstream file(draft);
  file << "{\"port\": " << aPort << "}\n";
  file.close();
  if (!file || std::rename(draft.c_str(), aPath.c_str()) != 0) {
    return MakeError(ErrorCode::Io, "cannot write " + aPath);
  }
  return {};
}

} // namespace fennelline
