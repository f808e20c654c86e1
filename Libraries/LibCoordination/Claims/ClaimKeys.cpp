#include "LibCoordination/Claims/ClaimKeys.h"

#include "LibBase/NameTable.h"
#include "LibBase/StableHash.h"

namespace fennelline {

namespace {

constexpr NameTable<ClaimPurpose, 4> kPurposeNames = {{
  {ClaimPurpose::Run, "run"},
  {ClaimPurpose::Bill, "bill"},
  {ClaimPurpose::Session, "session"},
  {ClaimPurpose::Suspect, "suspect"},
}};

} // namespace

RequestIdentity ClaimIdentity(ClaimPurpose aPurpose, const std::string& aCustomer,
                              const std::string& aKey) {
  return {.m_customer = aCustomer,
          .m_key = std::string(NameOf(kPurposeNames, aPurpose)) + "/" + aKey};
}

std::uint32_t ShardOf(const RequestIdentity& aIdentity, std::uint32_t aShardCount) {
  const std::uint64_t hash = StableHash(aIdentity.m_customer + '\n' + aIdentity.m_key);
  return static_cast<std::uint32_t>(hash % aShardCount);
}

std::string ViewKey(std::uint32_t aShard) {
  return kViewPrefix + std::to_string(aShard);
}

} // namespace fennelline
