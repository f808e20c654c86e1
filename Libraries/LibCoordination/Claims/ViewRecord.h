#pragma once

#include "LibBase/Error.h"
#include "LibCoordination/ClaimMessages.h"

#include <string>

namespace fennelline {

/// Parses a view from its platform key. A number of zero in the text stands for the revision of the
/// write itself, which the writer could not know in advance.
Result<ClaimView> ParseView(const KeyValue& aKeyValue);

/// Serializes a view as JSON. In a view that changes the holders, m_number and the m_since of new
/// holders are zero.
std::string WriteView(const ClaimView& aView);

/// The number of votes that grant an attempt: a majority of the holders.
std::size_t QuorumOf(const ClaimView& aView);

bool IsHolder(const ClaimView& aView, const EntryId& aEntry);

/// The number of the view since which the holder has held all slots; zero for other entries.
Revision HolderSince(const ClaimView& aView, const EntryId& aEntry);

} // namespace fennelline
