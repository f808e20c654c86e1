#pragma once

#include "LibBase/Error.h"
#include "LibBase/Time.h"
#include "LibCoordination/PlatformCall.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fennelline {

/// What an entry believes to stand in the platform's store, with the revision it believes it of.
/// Entries bring each other up to date from their mirrors, so few of them need to ask the store.
///
/// A key never goes back to an older revision, whoever tells it.
class StoreMirror {
public:
  /// Takes changes after which the mirror is as of aAsOf. Returns those that were news.
  std::vector<KeyValue> Apply(const std::vector<KeyValue>& aChanges, Revision aAsOf,
                              Time aAsKnownAt);
  /// Takes all keys there are as of aAsOf: those missing are gone. Returns what was news.
  std::vector<KeyValue> ApplyListing(const std::vector<KeyValue>& aKeys, Revision aAsOf,
                                     Time aAsKnownAt);

  /// The changes after a revision, or none where the mirror does not reach back so far.
  std::optional<std::vector<KeyValue>> ChangesSince(Revision aAfter) const;
  /// All keys that are not removed.
  std::vector<KeyValue> Listing() const;
  const KeyValue* Find(const std::string& aKey) const;
  std::vector<KeyValue> FindPrefix(std::string_view aPrefix) const;

  Revision AsOf() const { return m_asOf; }
  /// The highest revision of any key.
  Revision LastChange() const { return m_lastChange; }
  bool HasListing() const { return m_hasListing; }
  /// When what is held was last known to be the store's newest.
  Time ConfirmedAt() const { return m_knownAt; }

private:
  bool Take(const KeyValue& aChange);
  void Confirm(Revision aAsOf, Time aAsKnownAt);
  void ForgetOldRemovals();

  /// Removed keys stay for a while, to tell peers of them.
  std::map<std::string, KeyValue> m_keys;
  Revision m_asOf = 0;
  Revision m_lastChange = 0;
  /// Every change after this revision is held.
  Revision m_reachesBackTo = 0;
  Time m_knownAt{};
  bool m_hasListing = false;
};

/// What one entry tells another of its mirror.
struct MirrorUpdate {
  /// True for all keys, false for the changes since the revision that was asked for.
  bool m_isListing = false;
  Revision m_asOf = 0;
  /// Time since the teller's mirror was last known to be the store's newest.
  Duration m_age{0};
  /// Time since the teller last saw the store come back from an outage.
  Duration m_sinceOutage{0};
  /// Time since the teller, or one that it asked, had an answer of the store.
  Duration m_sinceStoreAnswer{0};
  std::vector<KeyValue> m_keys;
};

std::string EncodeMirrorUpdate(const MirrorUpdate& aNews);
Result<MirrorUpdate> DecodeMirrorUpdate(const std::string& aBytes);

} // namespace fennelline
