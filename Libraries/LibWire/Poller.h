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
  /// The connection has failed or was closed in both directions.
  bool m_hungUp = false;
};

/// Polls descriptors with epoll. Closing a descriptor ends its registration.
class Poller {
public:
  Result<void> Open();
  /// Registers for reading, and also for writing if aWriting is set. The token is returned with
  /// readiness.
  void Add(int aDescriptor, std::uint64_t aToken, bool aWriting);
  void Change(int aDescriptor, std::uint64_t aToken, bool aWriting);
  /// Stops polling for reading, and for writing unless aWriting is set; a hang-up is still
  /// reported.
  void Pause(int aDescriptor, std::uint64_t aToken, bool aWriting);
  void Remove(int aDescriptor);
  std::vector<Readiness> Wait(Duration aTimeout);

private:
  void Control(int aOperation, int aDescriptor, std::uint64_t aToken, std::uint32_t aEvents);

  FileDescriptor m_epoll;
};

} // namespace fennelline
