#pragma once

#include "LibBase/Error.h"
#include "LibCoordination/PlatformCall.h"

#include <optional>
#include <string>

namespace fennelline {

/// A key whose newest value is too large for an update of the mirror, and is fetched by itself.
struct DeferredValue {
  std::string m_key;
  Revision m_revision = 0;
  /// The era of the revision. In an update of the mirror, that of the update holds.
  std::optional<StoreEra> m_era = {};

  friend bool operator==(const DeferredValue&, const DeferredValue&) = default;
};

/// A request of one entry for a large value that another one may hold.
struct LargeValueQuery {
  /// The oldest revision that is of use.
  DeferredValue m_wanted;
  /// Peer address of the entry that asks, which can serve the value once it has received it.
  std::string m_from;
};

std::string EncodeLargeValueQuery(const LargeValueQuery& aQuery);
Result<LargeValueQuery> DecodeLargeValueQuery(const std::string& aBytes);

/// A large value on its way from one entry to another.
struct LargeValue {
  KeyValue m_key;
  /// The era of its revision; none if the sender, or its release, does not know it.
  std::optional<StoreEra> m_era;
};

/// Encodes a key with its value compressed.
std::string EncodeLargeValue(const KeyValue& aValue, std::optional<StoreEra> aEra);
Result<LargeValue> DecodeLargeValue(const std::string& aBytes);

} // namespace fennelline
