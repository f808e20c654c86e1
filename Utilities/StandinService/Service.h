#pragma once

#include "LibBase/Time.h"
#include "Utilities/StandinSupport/Journal.h"
#include "Utilities/StandinSupport/StandinServer.h"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace fennelline {

/// A stand-in for a plain service with stock checks, reservations and quotes.
struct Service {
  std::string m_name;
  std::int64_t m_slots = 8;
  Duration m_workTime = Milliseconds(2);

  Journal m_journal{"operation"};
  std::mutex m_mutex;
  std::condition_variable m_changed;
  SystemClock m_clock;
  std::int64_t m_running = 0;
  std::int64_t m_waiting = 0;
  std::int64_t m_answered = 0;
  /// Available units by item.
  std::map<std::string, std::int64_t> m_stock;
  bool m_leaving = false;
  bool m_silent = false;
  bool m_refuse = false;
  bool m_stopping = false;
  Duration m_slow{0};
  /// A request body that contains this text ends the process.
  std::string m_crashMarker;
};

void AddServiceRoutes(StandinServer& aServer, Service& aService);

} // namespace fennelline
