#include "LibBase/StableHash.h"

namespace fennelline {

namespace {

constexpr std::uint64_t kFnvOffset = 0xcbf29ce484222325ULL;
constexpr std::uint64_t kFnvPrime = 0x100000001b3ULL;
constexpr std::uint64_t kMixMultiplier = 0xff51afd7ed558ccdULL;
constexpr int kMixShift = 33;

} // namespace

std::uint64_t StableHash(std::string_view aBytes) {
  std::uint64_t hash = kFnvOffset;
  for (const char byte : aBytes) {
    hash ^= static_cast<std::uint8_t>(byte);
    hash *= kFnvPrime;
  }
  hash ^= hash >> kMixShift;
  hash *= kMixMultiplier;
  hash ^= hash >> kMixShift;
  return hash;
}

} // namespace fennelline
