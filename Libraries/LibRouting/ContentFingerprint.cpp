#include "LibRouting/ContentFingerprint.h"

#include "LibBase/Sha256.h"

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

} // namespace fennelline
