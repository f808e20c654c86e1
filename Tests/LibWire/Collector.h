#pragma once

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <utility>
#include <vector>

namespace fennelline::test {

/// Collects the items passed to callbacks and lets a test wait for them.
template<typename Item>
class Collector {
public:
  void Add(Item aItem) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_items.push_back(std::move(aItem));
    m_changed.notify_all();
  }

  /// Waits until there are aCount items. Returns false on timeout.
  bool WaitForCount(std::size_t aCount, std::chrono::milliseconds aLimit) {
    std::unique_lock<std::mutex> lock(m_mutex);
    return m_changed.wait_for(lock, aLimit, [this, aCount] { return m_items.size() >= aCount; });
  }

  std::vector<Item> Items() {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_items;
  }

private:
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::vector<Item> m_items;
};

} // namespace fennelline::test
