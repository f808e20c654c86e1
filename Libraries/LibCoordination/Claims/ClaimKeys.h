#pragma once

#include "LibCoordination/Identity.h"

#include <cstdint>
#include <string>

namespace fennelline {

/// What a write-once slot is used for. Slots of different purposes never collide.
enum class ClaimPurpose : std::uint8_t {
  /// The execution of a request that must run at most once.
  Run,
  /// The billing of a request that may run on two entries.
  Bill,
  /// The version that a session is pinned to.
  Session,
  /// The single retry of a request that was running when a backend server crashed.
  Suspect,
};

/// The identity of a slot: the customer, and the key prefixed with the purpose's name and a slash.
RequestIdentity ClaimIdentity(ClaimPurpose aPurpose, const std::string& aCustomer,
                              const std::string& aKey);

/// The shard of an identity. It must be the same on every machine and must never change.
std::uint32_t ShardOf(const RequestIdentity& aIdentity, std::uint32_t aShardCount);

/// The platform key of a shard's view, "fennelline/claims/SHARD".
std::string ViewKey(std::uint32_t aShard);

constexpr const char* kViewPrefix = "fennelline/claims/";

} // namespace fennelline
