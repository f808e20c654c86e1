#pragma once

#include "LibBase/Time.h"

#include <cstddef>
#include <string>
#include <vector>

namespace fennelline {

/// What an entry learns of itself, its deployment and the bounds it has to keep from its settings.
struct DeploymentSettings {
  std::string m_name;
  std::string m_zone;
  std::string m_region;
  std::vector<std::string> m_zones;
  /// "IP:PORT" for callers, for readiness checks, for peers, and for callers that ask where to
  /// connect.
  std::string m_callerAddress;
  std::string m_readyAddress;
  std::string m_peerAddress;
  std::string m_directoryAddress;
  std::string m_ip;
  /// UDP between entries; the same on each of them.
  int m_datagramPort = 0;
  /// Peer addresses that may help to find the others; they may be stale.
  std::vector<std::string> m_seeds;
  std::string m_storeAddress;
  /// The whole system starts for the first time.
  bool m_isFirstStart = false;

  std::size_t m_memoryBytes = 0;
  std::size_t m_maxDescriptors = 0;

  /// A change of the configuration is in force within this time.
  Duration m_applyTime = Seconds(2);
  /// A leaving backend server gets no request later than this.
  Duration m_drainTime = Seconds(2);
  /// Between the order to stop and the forced end.
  Duration m_grace = Seconds(8);
  /// A backend server's interval between heartbeats.
  Duration m_heartbeat = Milliseconds(1200);
  /// Requests of a session follow each other within this time.
  Duration m_sessionTime = Seconds(5);
  /// Callers may keep an address list so long.
  Duration m_addressListTtl = Seconds(5);

  double m_retryRatio = 0.9;
  double m_retrySlack = 50.0;
  Duration m_retryWindow = Seconds(10);
  /// Of all requests during a roll-out, a bad version may get this share and so many more.
  double m_exposedShare = 0.15;
  double m_exposedSlack = 30.0;
};

} // namespace fennelline
