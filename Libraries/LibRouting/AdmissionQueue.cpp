#include "LibRouting/AdmissionQueue.h"

#include <algorithm>
#include <iterator>

namespace fennelline {

namespace {

/// Accounts within half of the share of each other, and all within their share, count as equal:
/// smaller differences are noise in what one entry sees.
constexpr double kStepsPerShare = 2.0;

} // namespace

AdmissionQueue::Key AdmissionQueue::KeyOf(const WaitingRequest& aRequest) {
  const int use = static_cast<int>(std::max(1.0, aRequest.m_useRatio) * kStepsPerShare);
  return {aRequest.m_urgency, use, aRequest.m_objectiveAt, aRequest.m_id};
}

bool AdmissionQueue::HasPlaceFor(const WaitingRequest& aRequest) const {
  return m_waiting.size() < kMaxWaiting && m_bytes + aRequest.m_bytes <= kMaxBytes;
}

void AdmissionQueue::Add(const WaitingRequest& aRequest) {
  const Key key = KeyOf(aRequest);
  m_waiting[key] = aRequest;
  m_keys[aRequest.m_id] = key;
  m_bytes += aRequest.m_bytes;
  ++m_counts[static_cast<std::size_t>(aRequest.m_urgency)];
}

bool AdmissionQueue::Remove(std::uint64_t aId) {
  const auto key = m_keys.find(aId);
  if (key == m_keys.end()) {
    return false;
  }
  const auto found = m_waiting.find(key->second);
  m_bytes -= found->second.m_bytes;
  --m_counts[static_cast<std::size_t>(found->second.m_urgency)];
  m_waiting.erase(found);
  m_keys.erase(key);
  return true;
}

const WaitingRequest* AdmissionQueue::First() const {
  return m_waiting.empty() ? nullptr : &m_waiting.begin()->second;
}

const WaitingRequest* AdmissionQueue::Last() const {
  return m_waiting.empty() ? nullptr : &m_waiting.rbegin()->second;
}

std::vector<WaitingRequest> AdmissionQueue::All() const {
  std::vector<WaitingRequest> all;
  all.reserve(m_waiting.size());
  for (const auto& [key, request] : m_waiting) {
    all.push_back(request);
  }
  return all;
}

std::size_t AdmissionQueue::CountAhead(const WaitingRequest& aRequest) const {
  return static_cast<std::size_t>(
    std::distance(m_waiting.begin(), m_waiting.lower_bound(KeyOf(aRequest))));
}

std::size_t AdmissionQueue::CountOf(int aUrgency) const {
  return m_counts[static_cast<std::size_t>(aUrgency)];
}

} // namespace fennelline
