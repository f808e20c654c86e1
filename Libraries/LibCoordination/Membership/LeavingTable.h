#pragma once

#include "LibBase/Time.h"
#include "LibCoordination/MembershipMessages.h"

#include <map>
#include <optional>
#include <vector>

namespace fennelline {

/// How long the news of leaving backend servers is kept.
struct LeavingSettings {
  /// A mark younger than this is not cleared: the report that speaks against it may be older.
  Duration m_hold = Seconds(10);
  /// A mark that nobody renews ends after this time; the server is gone by then.
  Duration m_life = Seconds(3600);
};

/// Which backend servers are leaving, merged by version from all entries.
class LeavingTable {
public:
  explicit LeavingTable(LeavingSettings aSettings)
    : m_settings(aSettings) {}

  /// Marks a server; true when that is news.
  bool Mark(const BackendServerId& aServer, Time aNow);
  /// Takes the mark off if it is older than the hold; true when that is news.
  bool Clear(const BackendServerId& aServer, Time aNow);
  /// Takes another entry's digest; true when it is newer than what was known.
  bool Merge(const LeavingDigest& aDigest, Time aNow);
  bool IsLeaving(const BackendServerId& aServer) const;
  std::vector<BackendServerId> Servers() const;
  /// What to tell others about a server, if anything is known.
  std::optional<LeavingDigest> Digest(const BackendServerId& aServer, Time aNow) const;
  /// Everything known of servers with names after aAfter and up to aUpTo (empty: to the end).
  std::vector<LeavingDigest> Page(const BackendServerId& aAfter, const BackendServerId& aUpTo,
                                  std::size_t aMost, Time aNow) const;
  /// Forgets what is too old.
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
