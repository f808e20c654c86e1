#include "LibRouting/ContentFingerprint.h"

#include "LibBase/Sha256.h"

#include <algorithm>
#include <spdlog/fmt/fmt.h>

namespace fennelline {

namespace {

/// 128 bits: no two contents share it by chance, and messages stay short.
constexpr std::size_t kFingerprintDigits = 32;

/// Accounts are few, and callers do not choose their names.
constexpr std::size_t kAccountDigits = 12;

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

std::vector<SharedPart> FingerprintParts(std::string_view aAccount,
                                         const std::vector<PromptPart>& aParts) {
  std::vector<SharedPart> fingerprints;
  if (aParts.size() < 2) {
    return fingerprints;
  }
  const std::string account = Sha256Hex(aAccount).substr(0, kAccountDigits);
  const std::size_t shared = aParts.size() - 1;
  const std::size_t first = shared - std::min(shared, kMaxFingerprintedParts);
  for (std::size_t index = first; index < shared; ++index) {
    std::string anywhere = fmt::format("part-{:x}", aParts[index].m_id);
    const bool isKnown =
      std::any_of(fingerprints.begin(), fingerprints.end(),
                  [&anywhere](const SharedPart& aPart) { return aPart.m_anywhere == anywhere; });
    if (!isKnown) {
      std::string inAccount = anywhere + kAccountMark + account;
      fingerprints.push_back(
        {.m_inAccount = std::move(inAccount), .m_anywhere = std::move(anywhere)});
    }
  }
  return fingerprints;
}

} // namespace fennelline
