#pragma once

#include "LibBase/Error.h"
#include "LibBase/Time.h"
#include "LibCoordination/PlatformCall.h"
#include "LibRouting/LargeValue.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fennelline {

/// An update of the mirror, sent from one entry to another.
struct MirrorUpdate {
  /// The era of all revisions; none if the sender, or its release, does not know it.
  std::optional<StoreEra> m_era = {};
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
  /// Keys whose values are left out because they are large. Small changes, such as a server's
  /// leaving, must not wait for them.
  std::vector<DeferredValue> m_deferred;
};

/// What led to changes of the mirror.
struct ChangeOrigin {
  /// Keys removed up to this revision may only have expired in an outage of the store that has just
  /// ended.
  Revision m_lapsedUpTo = 0;
  /// The store came back from a copy. The changes are the differences of the copy, which lacks what
  /// was written last; the revisions of all other keys may have changed too.
  bool m_isReturn = false;
};

/// How an era compares with the one of the mirror. An unknown era counts as the same.
enum class EraOrder : std::uint8_t { Earlier, Same, Later };

/// An entry's replica of the platform's store, with the revision it reflects. Entries update each
/// other from their mirrors, so only few of them need to poll the store.
///
/// A key never reverts to an older revision of the store's era, whatever the source of an update. A
/// listing of a later era replaces all that the mirror holds: the store came back from a copy, and
/// gives out revisions again. What is of an earlier era is never applied.
class StoreMirror {
public:
  /// Applies changes that bring the mirror up to revision aUpToRevision. Returns those that were
  /// new.
  std::vector<KeyValue> Apply(const std::vector<KeyValue>& aChanges, Revision aUpToRevision,
                              Time aConfirmedAt);
  /// Applies a complete listing as of revision aUpToRevision; keys missing from it are removed.
  /// Returns the changes. Keys that a listing of a later era lacks are returned with the value that
  /// they had.
  std::vector<KeyValue> ApplyListing(const std::vector<KeyValue>& aKeys, Revision aUpToRevision,
                                     Time aConfirmedAt, std::optional<StoreEra> aEra = {});

  /// Applies an update of a peer, which may leave out large values. Returns the changes. Changes of
  /// a later era have no effect without a listing.
  std::vector<KeyValue> ApplyUpdate(const MirrorUpdate& aUpdate, Time aConfirmedAt);
  /// Applies changes that are known before others of lower revisions. Returns those that were new.
  std::vector<KeyValue> ApplyAhead(const std::vector<KeyValue>& aChanges);
  /// Applies a value that was left out of an update. Returns whether it was new.
  bool ApplyLargeValue(const KeyValue& aValue) { return Merge(aValue); }

  EraOrder Compare(std::optional<StoreEra> aEra) const;
  std::optional<StoreEra> Era() const { return m_era; }
  /// Names the era of the contents, unless it is known.
  void LearnEra(std::optional<StoreEra> aEra) { m_era = m_era ? m_era : aEra; }
  /// Whether contents of an earlier era have been replaced.
  bool HasChangedEra() const { return m_hasChangedEra; }

  /// Returns an update with the changes after a revision, or with all keys if the mirror's history
  /// does not reach back that far or the revision is of another era. Values of more than
  /// aMaxValueBytes are left out.
  MirrorUpdate UpdateSince(Revision aAfter, std::size_t aMaxValueBytes,
                           std::optional<StoreEra> aEra = {}) const;
  /// The newest revisions of large values that the mirror does not hold yet, by key.
  const std::map<std::string, Revision>& Awaited() const { return m_awaited; }

  /// Returns the changes after a revision, or none if the mirror's history does not reach back that
  /// far.
  std::optional<std::vector<KeyValue>> ChangesSince(Revision aAfter) const;
  /// Returns all keys that are not removed.
  std::vector<KeyValue> Listing() const;
  const KeyValue* Find(const std::string& aKey) const;
  std::vector<KeyValue> FindPrefix(std::string_view aPrefix) const;

  Revision AsOf() const { return m_upToRevision; }
  /// The highest revision of any key, held or awaited.
  Revision LastChange() const { return m_lastChange; }
  bool HasListing() const { return m_hasListing; }
  /// Whether there is an update for a peer that has all changes up to aAfter, and none later than
  /// aLastKnown. Without aLastKnown, changes that are known ahead do not count.
  /// aEra: the era of both revisions. A peer of a later era has nothing to learn.
  bool HasUpdate(Revision aAfter, std::optional<Revision> aLastKnown,
                 std::optional<StoreEra> aEra = {}) const;
  /// When the mirror was last confirmed to match the store's newest revision.
  Time ConfirmedAt() const { return m_confirmedAt; }

private:
  bool Merge(const KeyValue& aChange);
  void Await(const DeferredValue& aDeferred);
  std::vector<KeyValue> ApplyListing(const std::vector<KeyValue>& aKeys,
                                     const std::vector<DeferredValue>& aDeferred,
                                     Revision aUpToRevision, Time aConfirmedAt,
                                     std::optional<StoreEra> aEra);
  std::vector<KeyValue> ReplaceContents(const std::vector<KeyValue>& aKeys,
                                        const std::vector<DeferredValue>& aDeferred,
                                        Revision aUpToRevision, Time aConfirmedAt);
  void Confirm(Revision aUpToRevision, Time aConfirmedAt);
  void CountComplete(Revision aChange, Revision aUpToRevision);
  void PruneTombstones();

  /// Removed keys are kept as tombstones for a while, so that peers learn of the removal.
  std::map<std::string, KeyValue> m_keys;
  std::map<std::string, Revision> m_awaited;
  std::optional<StoreEra> m_era;
  bool m_hasChangedEra = false;
  Revision m_upToRevision = 0;
  Revision m_lastChange = 0;
  /// The highest revision of any key up to which all changes are known.
  Revision m_lastCompleteChange = 0;
  /// All changes after this revision are available.
  Revision m_historyStart = 0;
  Time m_confirmedAt{};
  bool m_hasListing = false;
};

std::string EncodeMirrorUpdate(const MirrorUpdate& aUpdate);
Result<MirrorUpdate> DecodeMirrorUpdate(const std::string& aBytes);

} // namespace fennelline
