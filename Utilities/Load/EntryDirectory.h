#pragma once

#include "LibBase/Error.h"
#include "LibBase/Random.h"
#include "LibBase/Time.h"
#include "LibPlatform/HttpTransport.h"

#include <mutex>
#include <string>
#include <vector>

namespace fennelline {

/// The caller's view of the entries' addresses: queried from any known entry and cached for as long
/// as the response allows. Thread-safe.
class EntryDirectory {
public:
  EntryDirectory(HttpTransport& aTransport, std::vector<std::string> aInitialAddresses,
                 std::uint64_t aSeed);

  /// Returns the address of a random entry, after refreshing an expired list.
  std::string Choose(Time aNow);
  std::size_t Refreshes() const { return m_refreshes; }

private:
  void Refresh(Time aNow);

  HttpTransport& m_transport;
  std::mutex m_mutex;
  std::vector<std::string> m_addresses;
  Time m_validUntil;
  Random m_random;
  std::size_t m_refreshes = 0;
};

} // namespace fennelline
