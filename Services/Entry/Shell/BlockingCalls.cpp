#include "Services/Entry/Shell/BlockingCalls.h"

namespace fennelline {

BlockingCalls::BlockingCalls(std::size_t aMaxConcurrent)
  : m_maxConcurrent(aMaxConcurrent) {}

BlockingCalls::~BlockingCalls() {
  const std::lock_guard<std::mutex> lock(m_mutex);
  for (std::size_t index = 0; index < m_threads.size(); ++index) {
    m_calls.push(nullptr);
  }
  for (std::thread& thread : m_threads) {
    thread.join();
  }
}

void BlockingCalls::Run(std::function<void()> aCall) {
  const std::size_t open = m_open.fetch_add(1) + 1;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (open > m_threads.size() && m_threads.size() < m_maxConcurrent) {
      m_threads.emplace_back([this]() { RunThread(); });
    }
  }
  m_calls.push(std::move(aCall));
}

void BlockingCalls::RunThread() {
  std::function<void()> call;
  for (m_calls.pop(call); call; m_calls.pop(call)) {
    call();
    m_open.fetch_sub(1);
  }
}

} // namespace fennelline
