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
  /// An IP address of this VM; ports are on it. Port 0 takes a free one.
  std::string m_address;
  int m_callerPort = 0;
  int m_adminPort = 0;
  int m_streamPort = 0;
  int m_datagramPort = 0;
  /// "IP:PORT" of the platform.
  std::string m_platformAddress;
  /// Where the program writes its ports as JSON once it serves; empty for nowhere.
  std::string m_portsFile;
  /// Peers and operators show one of these; the first is the one that is sent.
  std::vector<std::string> m_sharedSecrets;
  /// Session tokens are signed with the first and accepted under any.
  std::vector<std::string> m_sessionKeys;
  /// How long a caller may keep the list of entries.
  Duration m_entryListLife = Seconds(5);
  /// A leaving entry serves this much longer than m_entryListLife before it refuses new work.
  Duration m_leaveMargin = Seconds(2);
  /// The end of a graceful stop, whatever is still in flight.
  Duration m_stopLimit = Seconds(60);
  /// How long a key of a request is remembered.
  Duration m_retryWindow = Seconds(600);
  /// One-way distance to other data centres, in milliseconds of the settings file.
  std::vector<std::pair<std::string, Duration>> m_distances;
};

Result<EntrySettings> ParseEntrySettings(const std::string& aText);

} // namespace fennelline
