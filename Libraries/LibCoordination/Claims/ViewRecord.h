#pragma once

#include "LibBase/Error.h"
#include "LibCoordination/ClaimMessages.h"

#include <string>

namespace fennelline {

/// Reads a view from its key in the platform. A number of zero in the text stands for the revision
/// of the write itself, which its writer could not know.
Result<ClaimView> ParseView(const KeyValue& aKeyValue);

/// Writes a view as JSON. In a view that changes the holders, m_number and the m_since of new
/// holders are zero.
std::string WriteView(const ClaimView& aView);

/// Votes that make an attempt granted: more than half of the holders.
std::size_t QuorumOf(const ClaimView& aView);

bool IsHolder(const ClaimView& aView, const EntryId& aEntry);

/// The number of the view since which the entry has held all slots; zero for others.
Revision HolderSince(const ClaimView& aView, const EntryId& aEntry);

} // namespace fennelline
