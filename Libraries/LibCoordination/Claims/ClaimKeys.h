#pragma once

#include "LibCoordination/Identity.h"

#include <cstdint>
#include <string>

namespace fennelline {

/// What a write-once slot stands for. Slots of different purposes never meet.
enum class ClaimPurpose : std::uint8_t {
  /// The run of a request that must not be repeated.
  Run,
  /// The bill of a request that may run on two entries.
  Bill,
  /// The version of a session.
  Session,
  /// The one further run of a request that was running when a backend server crashed.
  Suspect,
};

/// The identity of a slot: the same customer, and the key behind the purpose's name and a slash.
RequestIdentity ClaimIdentity(ClaimPurpose aPurpose, const std::string& aCustomer,
                              const std::string& aKey);

/// The shard of an identity. The same on every machine, for ever.
std::uint32_t ShardOf(const RequestIdentity& aIdentity, std::uint32_t aShardCount);

/// A hash of bytes (FNV-1a with a final mix) that is the same on every machine.
std::uint64_t StableHash(const std::string& aBytes);

/// The platform's key of a shard's view: "fennelline/claims/SHARD".
std::string ViewKey(std::uint32_t aShard);

constexpr const char* kViewPrefix = "fennelline/claims/";

} // namespace fennelline
