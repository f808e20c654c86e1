#pragma once

#include "LibBase/Time.h"

#include <deque>
#include <string>
#include <utility>

namespace fennelline {

/// A text that readers see some time after it was set.
class LaggingVmList {
public:
  void Set(std::string aText, Time aNow);
  /// The newest text that is at least aLag old; the first one is seen at once.
  const std::string& Get(Duration aLag, Time aNow);

private:
  std::deque<std::pair<Time, std::string>> m_texts = {{Time{}, "[]"}};
};

} // namespace fennelline
