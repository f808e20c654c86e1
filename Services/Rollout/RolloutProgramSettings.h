#pragma once

#include "LibBase/Error.h"
#include "LibBase/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fennelline {

/// The settings of one roll-out process. It runs on an entry VM, beside the entry.
struct RolloutProgramSettings {
  /// The VM's name, as the entry has it.
  std::string m_name;
  std::string m_address;
  /// For operators and Prometheus. Port 0 takes a free one.
  int m_adminPort = 0;
  std::string m_platformAddress;
  /// The admin address of this VM's entry, which knows the others.
  std::string m_entryAdminAddress;
  /// Where the program writes its port as JSON once it serves; empty for nowhere.
  std::string m_portsFile;
  /// Sent to entries, and accepted from operators; the first is the one that is sent.
  std::vector<std::string> m_sharedSecrets;
  /// Engines that refuse an order with an old fencing number, by name.
  std::vector<std::string> m_enginesThatCheck;
  bool m_allEnginesCheck = false;
  /// What the weight store carries at once, over the whole deployment.
  std::int64_t m_mostLoads = 2;
  Duration m_loadSpacing = Milliseconds(500);
  Duration m_leaseLife = Seconds(10);
  Duration m_leasePollInterval = Seconds(5);
  Duration m_leastStepTime = Seconds(10);
  double m_goodRate = 0.02;
  double m_badRate = 0.10;
  double m_falseAlarm = 0.01;
  double m_falseAdvance = 0.05;
};

Result<RolloutProgramSettings> ParseRolloutProgramSettings(const std::string& aText);

} // namespace fennelline
