#pragma once

#include "LibBase/Time.h"

#include <deque>
#include <string>
#include <utility>

namespace fennelline {

/// A VM list whose updates become visible to readers after a delay.
class LaggingVmList {
public:
  void Set(std::string aText, Time aNow);
  /// Returns the newest text that is at least aLag old. The first one is visible immediately.
  const std::string& Get(Duration aLag, Time aNow);

private:
  std::deque<std::pair<Time, std::string>> m_texts = {{Time{}, "[]"}};
};

} // namespace fennelline
