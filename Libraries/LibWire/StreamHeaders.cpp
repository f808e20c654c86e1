#include "LibWire/StreamHeaders.h"

#include "LibBase/Sha256.h"

#include <charconv>

namespace fennelline {

std::string MakeProof(std::string_view aSecret, const EntryId& aFrom, const EntryId& aTo) {
  return HmacSha256Hex(aSecret, "fennelline stream\n" + aFrom + "\n" + aTo);
}

bool VerifyProof(const std::vector<std::string>& aSecrets, std::string_view aProof,
                 const EntryId& aFrom, const EntryId& aTo) {
  bool matched = false;
  for (const std::string& secret : aSecrets) {
    matched = EqualInConstantTime(aProof, MakeProof(secret, aFrom, aTo)) || matched;
  }
  return matched;
}

std::optional<std::uint64_t> ParseMessagePath(std::string_view aPath) {
  if (!aPath.starts_with(kMessagePath)) {
    return std::nullopt;
  }
  const std::string_view text = aPath.substr(kMessagePath.size());
  const char* end = text.data() + text.size();
  std::uint64_t number = 0;
  const std::from_chars_result parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return number;
}

} // namespace fennelline
