#pragma once

#include "LibBase/Time.h"
#include "LibCoordination/Identity.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <string>
#include <vector>

namespace fennelline {

/// Requests whose connection to a backend server ended without an answer, until it is known whether
/// the server crashed. A broken connection alone does not show that. Item has the members
/// m_fingerprint, m_server and m_at.
template<typename Item>
class SuspectedCrashes {
public:
  /// A suspicion that is not confirmed within aWindow is dropped.
  explicit SuspectedCrashes(Duration aWindow)
    : m_window(aWindow) {}

  void Add(Item aItem) {
    if (m_items.size() == kMaxItems) {
      m_items.erase(m_items.begin());
    }
    m_items.push_back(std::move(aItem));
  }
  /// The server has crashed: returns the requests that ran there.
  std::vector<Item> Confirm(const BackendServerId& aServer, Time aNow) {
    Expire(aNow);
    std::vector<Item> confirmed;
    std::copy_if(m_items.begin(), m_items.end(), std::back_inserter(confirmed),
                 [&](const Item& aItem) { return aItem.m_server == aServer; });
    RefuteServer(aServer);
    return confirmed;
  }
  /// The server has not crashed.
  void RefuteServer(const BackendServerId& aServer) {
    std::erase_if(m_items, [&](const Item& aItem) { return aItem.m_server == aServer; });
  }
  /// The request ran to completion elsewhere, so it does not crash servers.
  void RefuteRequest(const std::string& aFingerprint) {
    std::erase_if(m_items, [&](const Item& aItem) { return aItem.m_fingerprint == aFingerprint; });
  }
  /// Drops the suspicions that are too old to be confirmed.
  void Expire(Time aNow) {
    std::erase_if(m_items, [&](const Item& aItem) { return aNow - aItem.m_at > m_window; });
  }
  bool Has(const BackendServerId& aServer) const {
    return std::any_of(m_items.begin(), m_items.end(),
                       [&](const Item& aItem) { return aItem.m_server == aServer; });
  }
  bool IsEmpty() const { return m_items.empty(); }

private:
  static constexpr std::size_t kMaxItems = 4096;

  Duration m_window;
  /// Oldest first.
  std::vector<Item> m_items;
};

} // namespace fennelline
