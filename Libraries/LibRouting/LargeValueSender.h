#pragma once

#include "LibBase/Time.h"
#include "LibRouting/LargeValue.h"

#include <cstddef>
#include <string>
#include <vector>

namespace fennelline {

/// Decides whether an entry sends a large value to another one now. It takes on what its link sends
/// within a short time, since callers' and servers' traffic and small updates share that link, and
/// names the entries that it has served to those it turns away.
class LargeValueSender {
public:
  /// Returns whether to send the value, of aBytes, to the entry at aReceiver.
  bool Start(const DeferredValue& aValue, const std::string& aReceiver, std::size_t aBytes,
             std::size_t aLinkBytesPerSecond, Time aNow);
  /// Returns an entry that has probably received the value, or an empty string. Each call names the
  /// next one.
  std::string NextHolder(Time aNow);

private:
  struct Receiver {
    std::string m_address;
    Time m_receivedAt{};
  };

  DeferredValue m_value;
  std::vector<Receiver> m_receivers;
  std::size_t m_nextHolder = 0;
  /// When the link has sent all that has been started.
  Time m_sentAt{};
};

} // namespace fennelline
