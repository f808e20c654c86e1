#include "LibWire/Poller.h"

#include <array>
#include <sys/epoll.h>

namespace fennelline {

namespace {

std::uint32_t WritingEvents(bool aWriting) {
  return aWriting ? static_cast<std::uint32_t>(EPOLLOUT) : 0U;
}

} // namespace

Result<void> Poller::Open() {
  m_epoll = FileDescriptor(epoll_create1(EPOLL_CLOEXEC));
  if (!m_epoll.IsOpen()) {
    return IoError("cannot create an epoll descriptor");
  }
  return {};
}

void Poller::Add(int aDescriptor, std::uint64_t aToken, bool aWriting) {
  Control(EPOLL_CTL_ADD, aDescriptor, aToken, EPOLLIN | WritingEvents(aWriting));
}

void Poller::Change(int aDescriptor, std::uint64_t aToken, bool aWriting) {
  Control(EPOLL_CTL_MOD, aDescriptor, aToken, EPOLLIN | WritingEvents(aWriting));
}

void Poller::Pause(int aDescriptor, std::uint64_t aToken, bool aWriting) {
  Control(EPOLL_CTL_MOD, aDescriptor, aToken, WritingEvents(aWriting));
}

void Poller::Remove(int aDescriptor) {
  epoll_ctl(m_epoll.Number(), EPOLL_CTL_DEL, aDescriptor, nullptr);
}

void Poller::Control(int aOperation, int aDescriptor, std::uint64_t aToken, std::uint32_t aEvents) {
  epoll_event event{};
  event.events = aEvents;
  event.data.u64 = aToken;
  epoll_ctl(m_epoll.Number(), aOperation, aDescriptor, &event);
}

std::vector<Readiness> Poller::Wait(Duration aTimeout) {
  constexpr std::size_t kMaxEvents = 256;
  std::array<epoll_event, kMaxEvents> events;
  const int timeout = static_cast<int>(InMilliseconds(aTimeout));
  const int count = epoll_wait(m_epoll.Number(), events.data(), kMaxEvents, timeout);
  std::vector<Readiness> ready;
  for (int index = 0; index < count; ++index) {
    const epoll_event& event = events[static_cast<std::size_t>(index)];
    // An error or a hang-up is detected when the descriptor is read.
    const bool readable = (event.events & (EPOLLIN | EPOLLERR | EPOLLHUP)) != 0;
    const bool writable = (event.events & EPOLLOUT) != 0;
    const bool hungUp = (event.events & (EPOLLERR | EPOLLHUP)) != 0;
    ready.push_back({event.data.u64, readable, writable, hungUp});
  }
  return ready;
}

} // namespace fennelline
