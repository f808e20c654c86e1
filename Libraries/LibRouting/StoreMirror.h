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

/// An entry's replica of the platform's store, with the revision it reflects. Entries update each
/// other from their mirrors, so only few of them need to poll the store.
///
/// A key never reverts to an older revision, whatever the source of an update.
class StoreMirror {
public:
  /// Applies changes that bring the mirror up to revision aUpToRevision. Returns those that were
  /// new.
  std::vector<KeyValue> Apply(const std::vector<KeyValue>& aChanges, Revision aUpToRevision,
                              Time aConfirmedAt);
  /// Applies a complete listing as of revision aUpToRevision; keys missing from it are removed.
  /// Returns the changes.
  std::vector<KeyValue> ApplyListing(const std::vector<KeyValue>& aKeys, Revision aUpToRevision,
                                     Time aConfirmedAt);

  /// Returns the changes after a revision, or none if the mirror's history does not reach back that
  /// far.
  std::optional<std::vector<KeyValue>> ChangesSince(Revision aAfter) const;
  /// Returns all keys that are not removed.
  std::vector<KeyValue> Listing() const;
  const KeyValue* Find(const std::string& aKey) const;
  std::vector<KeyValue> FindPrefix(std::string_view aPrefix) const;

  Revision AsOf() const { return m_upToRevision; }
  /// The highest revision of any key.
  Revision LastChange() const { return m_lastChange; }
  bool HasListing() const { return m_hasListing; }
  /// When the mirror was last confirmed to match the store's newest revision.
  Time ConfirmedAt() const { return m_confirmedAt; }

private:
  bool Merge(const KeyValue& aChange);
  void Confirm(Revision aUpToRevision, Time aConfirmedAt);
  void PruneTombstones();

  /// Removed keys are kept as tombstones for a while, so that peers learn of the removal.
  std::map<std::string, KeyValue> m_keys;
  Revision m_upToRevision = 0;
  Revision m_lastChange = 0;
  /// All changes after this revision are available.
  Revision m_historyStart = 0;
  Time m_confirmedAt{};
  bool m_hasListing = false;
};

/// An update of the mirror, sent from one entry to another.
struct MirrorUpdate {
  /// True for a complete listing, false for the changes since the requested revision.
  bool m_isListing = false;
  Revision m_upToRevision = 0;
  /// Time since the sender's mirror was last confirmed to be current.
  Duration m_age{0};
  /// Time since the sender last saw the store recover from an outage.
  Duration m_sinceOutage{0};
  /// Time since the sender, or a peer that it polled, last had an answer from the store.
  Duration m_sinceStoreAnswer{0};
  /// Revision of the store when it recovered from that outage.
  Revision m_outageRevision = 0;
  std::vector<KeyValue> m_keys;
};

std::string EncodeMirrorUpdate(const MirrorUpdate& aUpdate);
Result<MirrorUpdate> DecodeMirrorUpdate(const std::string& aBytes);

} // namespace fennelline
