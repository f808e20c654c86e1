#pragma once

#include "LibBase/Time.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace fennelline {

/// An entry's settings: its identity, the deployment it belongs to and the limits it must keep.
struct DeploymentSettings {
  std::string m_name;
  std::string m_zone;
  std::string m_region;
  std::vector<std::string> m_zones;
  /// "IP:PORT" for callers, for readiness checks, for peers, and for callers that ask for the list
  /// of entry addresses.
  std::string m_callerAddress;
  std::string m_readyAddress;
  std::string m_peerAddress;
  std::string m_directoryAddress;
  std::string m_ip;
  /// UDP port for messages between entries; the same on all of them.
  int m_datagramPort = 0;
  /// Peer addresses used to discover the other entries; they may be stale.
  std::vector<std::string> m_seeds;
  std::string m_storeAddress;
  /// Whether the whole system is starting for the first time.
  bool m_isFirstStart = false;

  std::size_t m_memoryBytes = 0;
  std::size_t m_maxDescriptors = 0;
  /// Rate of the VM's network link.
  std::size_t m_linkBytesPerSecond = 125'000'000;

  /// Maximum time until a configuration change is in force.
  Duration m_applyTime = Seconds(2);
  /// Maximum time until a draining backend server receives no more requests.
  Duration m_drainTime = Seconds(2);
  /// Maximum time until a data centre that is evacuated receives no more requests. Without it,
  /// orders to evacuate one are ignored.
  std::optional<Duration> m_evacuateTime;
  /// Time between the stop signal and forced termination.
  Duration m_grace = Seconds(8);
  /// Interval between heartbeats of a backend server.
  Duration m_heartbeat = Milliseconds(1200);
  /// Maximum time between consecutive requests of a session.
  Duration m_sessionTime = Seconds(5);
  /// How long callers may cache a list of entry addresses.
  Duration m_addressListTtl = Seconds(5);

  double m_maxRetryRatio = 0.9;
  double m_retrySlack = 50.0;
  Duration m_retryWindow = Seconds(10);
  /// In no second does a cold server get more than m_coldOverage times the requests that it can
  /// handle, plus m_coldSlack, from all entries together. Zero m_coldOverage: no bound.
  double m_coldOverage = 0.0;
  double m_coldSlack = 0.0;
  /// During a roll-out, a bad version may get this share of all requests plus m_exposedSlack more.
  double m_exposedShare = 0.15;
  double m_exposedSlack = 30.0;
};

} // namespace fennelline
