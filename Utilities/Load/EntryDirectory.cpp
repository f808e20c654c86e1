#include "Utilities/Load/EntryDirectory.h"

#include "LibPlatform/JsonReply.h"

#include <nlohmann/json.hpp>

namespace fennelline {

namespace {

constexpr Duration kQueryTimeout = Milliseconds(500);
/// When no entry responds, the known addresses stay in use and are queried again after this time.
constexpr Duration kRetryInterval = Milliseconds(200);

} // namespace

EntryDirectory::EntryDirectory(HttpTransport& aTransport,
                               std::vector<std::string> aInitialAddresses, std::uint64_t aSeed)
  : m_transport(aTransport)
  , m_addresses(std::move(aInitialAddresses))
  , m_random(aSeed) {}

std::string EntryDirectory::Choose(Time aNow) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  if (aNow >= m_validUntil) {
    Refresh(aNow);
  }
  return m_addresses[m_random.Below(m_addresses.size())];
}

void EntryDirectory::Refresh(Time aNow) {
  const std::vector<std::string> known = m_addresses;
  m_validUntil = aNow + kRetryInterval;
  for (const std::string& address : known) {
    const HttpRequest request{.m_target = "/v1/entries"};
    const Result<nlohmann::json> reply = ParseJsonReply(m_transport.Call(
      address, request, {.m_readTimeout = kQueryTimeout, .m_totalTimeout = kQueryTimeout}));
    if (reply.IsError() || !reply.Get().contains("entries") || reply.Get()["entries"].empty()) {
      continue;
    }
    m_addresses.clear();
    for (const nlohmann::json& entry : reply.Get()["entries"]) {
      m_addresses.push_back(entry.value("address", std::string()));
    }
    m_validUntil = aNow + Milliseconds(reply.Get().value("keep_ms", std::int64_t{0}));
    ++m_refreshes;
    return;
  }
}

} // namespace fennelline
