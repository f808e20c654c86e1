#pragma once

#include "LibCoordination/Claims/ClaimKeys.h"
#include "Services/Entry/Event.h"

#include <cstdint>

namespace fennelline {

/// A claim ticket encodes the caller and the claim purpose in one number.
constexpr std::uint64_t kPurposesPerCaller = 4;

constexpr std::uint64_t TicketOf(CallerId aCaller, ClaimPurpose aPurpose) {
  return aCaller * kPurposesPerCaller + static_cast<std::uint64_t>(aPurpose);
}

constexpr CallerId CallerOf(std::uint64_t aTicket) {
  return aTicket / kPurposesPerCaller;
}

constexpr ClaimPurpose PurposeOf(std::uint64_t aTicket) {
  return static_cast<ClaimPurpose>(aTicket % kPurposesPerCaller);
}

} // namespace fennelline
