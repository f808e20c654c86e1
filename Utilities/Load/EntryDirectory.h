#pragma once

#include "LibBase/Error.h"
#include "LibBase/Random.h"
#include "LibBase/Time.h"
#include "LibPlatform/HttpTransport.h"

#include <mutex>
#include <string>
#include <vector>

namespace fennelline {

/// The entries' addresses as callers know them: asked for at any known entry, and kept for as long
/// as the answer allows. Thread-safe.
class EntryDirectory {
public:
  EntryDirectory(HttpTransport& aTransport, std::vector<std::string> aFirst, std::uint64_t aSeed);

  /// An address to send to now.
  std::string Choose(Time aNow);
  std::size_t Refreshes() const { return m_refreshes; }

private:
  void Refresh(Time aNow);

  HttpTransport& m_transport;
  std::mutex m_mutex;
  std::vector<std::string> m_addresses;
  Time m_goodUntil;
  Random m_random;
  std::size_t m_refreshes = 0;
};

} // namespace fennelline
