#pragma once

#include "LibBase/Error.h"
#include "LibBase/Time.h"

#include <string>
#include <vector>

namespace fennelline {

/// The settings of one entry process.
struct EntrySettings {
  std::string m_name;
  std::string m_dataCentre;
  /// The IP address of this VM on which the ports are bound. Port 0 selects a free port.
  std::string m_address;
  int m_callerPort = 0;
  int m_adminPort = 0;
  int m_streamPort = 0;
  int m_datagramPort = 0;
  /// "IP:PORT" of the platform.
  std::string m_platformAddress;
  /// File to which the bound ports are written as JSON once the process serves. Empty for none.
  std::string m_portsFile;
  /// Accepted secrets of peers and operators. The first one is used for sending.
  std::vector<std::string> m_sharedSecrets;
  /// Session tokens are signed with the first key and accepted with any of them.
  std::vector<std::string> m_sessionKeys;
  /// How long a caller may cache the list of entries.
  Duration m_entryListLife = Seconds(5);
  /// A leaving entry keeps serving for m_entryListLife plus this margin before it rejects new
  /// requests.
  Duration m_leaveMargin = Seconds(2);
  /// Time limit of a graceful stop, regardless of requests still in flight.
  Duration m_stopLimit = Seconds(60);
  /// How long the idempotency key of a request is remembered.
  Duration m_retryWindow = Seconds(600);
  /// One-way latency to other data centres, given in microseconds in the settings file.
  std::vector<std::pair<std::string, Duration>> m_distances;
};

Result<EntrySettings> ParseEntrySettings(const std::string& aText);

} // namespace fennelline
