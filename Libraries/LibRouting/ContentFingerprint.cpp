#include "LibRouting/ContentFingerprint.h"

#include "LibBase/Sha256.h"

#include <algorithm>
#include <spdlog/fmt/fmt.h>

namespace fennelline {

namespace {

/// 128 bits: no two contents share it by chance, and messages stay short.
constexpr std::size_t kFingerprintDigits = 32;

} // namespace

std::string ContentFingerprint(std::string_view aAccount, std::string_view aMethod,
                               std::string_view aTarget, std::string_view aBody) {
  // None of the first three can contain a line feed.
  std::string content;
  content.reserve(aAccount.size() + aMethod.size() + aTarget.size() + aBody.size() + 3);
  content.append(aAccount).append("\n").append(aMethod).append("\n").append(aTarget);
  content.append("\n").append(aBody);
  return Sha256Hex(content).substr(0, kFingerprintDigits);
}

std::vector<std::string> SharedPartFingerprints(const std::vector<PromptPart>& aParts) {
  std::vector<std::string> fingerprints;
  const std::size_t shared = aParts.empty() ? 0 : aParts.size() - 1;
  for (std::size_t index = 0; index < std::min(shared, kMaxFingerprintedParts); ++index) {
    std::string fingerprint = fmt::format("part-{:x}", aParts[index].m_id);
    if (std::find(fingerprints.begin(), fingerprints.end(), fingerprint) == fingerprints.end()) {
      fingerprints.push_back(std::move(fingerprint));
    }
  }
  return fingerprints;
}

} // namespace fennelline
