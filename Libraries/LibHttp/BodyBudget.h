#pragma once

#include <algorithm>
#include <cstddef>
#include <memory>
#include <utility>

namespace fennelline {

/// Memory for request bodies, which several servers may share.
struct BodyBudget {
  std::size_t m_usedBytes = 0;
  std::size_t m_maxBytes = 32UL * 1024 * 1024;
};

/// What one request takes of a budget.
class BodyReservation {
public:
  explicit BodyReservation(std::shared_ptr<BodyBudget> aBudget)
    : m_budget(std::move(aBudget)) {}
  ~BodyReservation() { Release(); }
  BodyReservation(const BodyReservation&) = delete;
  BodyReservation& operator=(const BodyReservation&) = delete;

  /// Raises the reservation to aBytes. Returns false if there is no memory left for it.
  bool Reserve(std::size_t aBytes) {
    const std::size_t more = aBytes - std::min(aBytes, m_bytes);
    if (m_budget->m_usedBytes + more > m_budget->m_maxBytes) {
      return false;
    }
    m_budget->m_usedBytes += more;
    m_bytes += more;
    return true;
  }
  void Release() { m_budget->m_usedBytes -= std::exchange(m_bytes, 0); }

private:
  std::shared_ptr<BodyBudget> m_budget;
  std::size_t m_bytes = 0;
};

} // namespace fennelline
