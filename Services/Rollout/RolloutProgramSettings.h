#pragma once

#include "LibBase/Error.h"
#include "LibBase/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fennelline {

/// The settings of a roll-out process, which runs on an entry VM next to the entry.
struct RolloutProgramSettings {
  /// The VM's name, the same as in the entry's settings.
  std::string m_name;
  std::string m_address;
  /// Port for operators and Prometheus; 0 picks a free port.
  int m_adminPort = 0;
  std::string m_platformAddress;
  /// The admin address of this VM's entry, which is asked for the addresses of the others.
  std::string m_entryAdminAddress;
  /// File to which the port is written as JSON once the server is listening; empty for none.
  std::string m_portsFile;
  /// Secrets accepted from operators; the first one is also sent to entries.
  std::vector<std::string> m_sharedSecrets;
  /// Names of the engines that reject an order with a stale fencing token.
  std::vector<std::string> m_enginesThatCheck;
  bool m_allEnginesCheck = false;
  /// Maximum number of concurrent loads that the weight store can serve, deployment-wide.
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
