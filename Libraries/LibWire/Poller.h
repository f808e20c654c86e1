#pragma once

#include "LibBase/Error.h"
#include "LibBase/Time.h"
#include "LibWire/Socket.h"

#include <cstdint>
#include <vector>

namespace fennelline {

/// What a watched descriptor is ready for.
struct Readiness {
  std::uint64_t m_token = 0;
  bool m_readable = false;
  bool m_writable = false;
  /// The connection has failed or ended in both directions.
  bool m_hungUp = false;
};

/// Watches descriptors by epoll. A descriptor that is closed is no longer watched.
class Poller {
public:
  Result<void> Open();
  /// Watches for reading, and for writing as well if asked. The token comes back with readiness.
  void Add(int aDescriptor, std::uint64_t aToken, bool aWriting);
  void Change(int aDescriptor, std::uint64_t aToken, bool aWriting);
  /// Watches for neither reading nor, unless asked, writing; a hang-up is still told.
  void Pause(int aDescriptor, std::uint64_t aToken, bool aWriting);
  void Remove(int aDescriptor);
  std::vector<Readiness> Wait(Duration aTimeout);

private:
  void Control(int aOperation, int aDescriptor, std::uint64_t aToken, std::uint32_t aEvents);

  FileDescriptor m_epoll;
};

} // namespace fennelline
