#pragma once

#include "LibBase/Random.h"
#include "LibBase/Time.h"
#include "Utilities/StandinPlatform/KeyValueStore.h"
#include "Utilities/StandinPlatform/LaggingVmList.h"
#include "Utilities/StandinSupport/StandinServer.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string>

namespace fennelline {

/// Counts calls in the current second and in total.
struct CallCounter {
  std::int64_t m_total = 0;
  std::int64_t m_second = 0;
  std::int64_t m_inSecond = 0;
  std::int64_t m_limited = 0;
};

/// Switches set by POST /control and the command line.
struct PlatformSwitches {
  bool m_outage = false;
  Duration m_slow{0};
  /// The fraction of writes that are performed but whose reply is lost.
  double m_loseReplies = 0.0;
  Duration m_vmLag{0};
  std::int64_t m_writesPerSecond = 400;
  std::int64_t m_readsPerSecond = 2000;
  Duration m_weightTime = Milliseconds(200);
  std::int64_t m_maxWaitingLoads = 4;
  Duration m_ratingDelay = Milliseconds(50);
  /// The rating service rates an answer that contains this as bad.
  std::string m_badMarker = "[[bad]]";
};

/// The state of the stand-in platform. All members are guarded by m_mutex.
struct Platform {
  std::mutex m_mutex;
  std::condition_variable m_changed;
  SystemClock m_clock;
  PlatformSwitches m_switches;
  KeyValueStore m_store;
  LaggingVmList m_vms;
  CallCounter m_reads;
  CallCounter m_writes;
  CallCounter m_watches;
  std::int64_t m_waitingLoads = 0;
  Time m_weightsFreeAt;
  Random m_random{1};
  bool m_stopping = false;
};

/// Routes of the key-value service.
void AddKeyValueRoutes(StandinServer& aServer, Platform& aPlatform);
/// Routes of the VM list, the weight store, the rating service, the counters and the switches.
void AddPlatformRoutes(StandinServer& aServer, Platform& aPlatform);

} // namespace fennelline
