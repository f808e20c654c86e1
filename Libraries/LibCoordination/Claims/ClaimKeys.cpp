#include "LibCoordination/Claims/ClaimKeys.h"

#include "LibBase/NameTable.h"

namespace fennelline {

namespace {

constexpr NameTable<ClaimPurpose, 4> kPurposeNames = {{
  {ClaimPurpose::Run, "run"},
  {ClaimPurpose::Bill, "bill"},
  {ClaimPurpose::Session, "session"},
  {ClaimPurpose::Suspect, "suspect"},
}};

constexpr std::uint64_t kFnvOffset = 0xcbf29ce484222325ULL;
constexpr std::uint64_t kFnvPrime = 0x100000001b3ULL;
constexpr std::uint64_t kMixMultiplier = 0xff51afd7ed558ccdULL;
constexpr int kMixShift = 33;

} // namespace

RequestIdentity ClaimIdentity(ClaimPurpose aPurpose, const std::string& aCustomer,
                              const std::string& aKey) {
  return {.m_customer = aCustomer,
          .m_key = std::string(NameOf(kPurposeNames, aPurpose)) + "/" + aKey};
}

std::uint64_t StableHash(const std::string& aBytes) {
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

std::uint32_t ShardOf(const RequestIdentity& aIdentity, std::uint32_t aShardCount) {
  const std::uint64_t hash = StableHash(aIdentity.m_customer + '\n' + aIdentity.m_key);
  return static_cast<std::uint32_t>(hash % aShardCount);
}

std::string ViewKey(std::uint32_t aShard) {
  return kViewPrefix + std::to_string(aShard);
}

} // namespace fennelline
