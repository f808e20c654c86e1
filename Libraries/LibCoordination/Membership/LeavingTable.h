#pragma once

#include "LibBase/Time.h"
#include "LibCoordination/MembershipMessages.h"

#include <map>
#include <optional>
#include <vector>

namespace fennelline {

/// How long marks of leaving backend servers are kept.
struct LeavingSettings {
  /// A mark younger than this is not cleared: the report that contradicts it may be older than the
  /// mark.
  Duration m_hold = Seconds(10);
  /// A mark that is not renewed expires after this time; the server is gone by then.
  Duration m_life = Seconds(3600);
};

/// The backend servers that are leaving, merged by version from all entries.
class LeavingTable {
public:
  explicit LeavingTable(LeavingSettings aSettings)
    : m_settings(aSettings) {}

  /// Marks a server as leaving. Returns true if this changed the table.
  bool Mark(const BackendServerId& aServer, Time aNow);
  /// Records that a server is back, unless its mark is younger than m_hold. Returns true if this
  /// changed the table.
  bool Clear(const BackendServerId& aServer, Time aNow);
  /// Merges a digest from another entry. Returns true if it is newer than the known one.
  bool Merge(const LeavingDigest& aDigest, Time aNow);
  bool IsLeaving(const BackendServerId& aServer) const;
  std::vector<BackendServerId> Servers() const;
  /// The digest to send to other entries, if the server is known.
  std::optional<LeavingDigest> Digest(const BackendServerId& aServer, Time aNow) const;
  /// The digests of known servers with names after aAfter and up to aUpTo (empty: to the end).
  std::vector<LeavingDigest> Page(const BackendServerId& aAfter, const BackendServerId& aUpTo,
                                  std::size_t aMost, Time aNow) const;
  /// Removes expired marks.
  void Expire(Time aNow);

private:
  struct LeavingMark {
    std::uint64_t m_version = 0;
    bool m_leaving = false;
    Time m_since{};
  };

  LeavingDigest MakeDigest(const BackendServerId& aServer, const LeavingMark& aMark,
                           Time aNow) const;

  LeavingSettings m_settings;
  std::map<BackendServerId, LeavingMark> m_marks;
};

} // namespace fennelline
