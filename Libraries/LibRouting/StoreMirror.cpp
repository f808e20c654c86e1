#include "LibRouting/StoreMirror.h"

#include "LibRouting/MessagePack.h"
#include "LibRouting/StoreEraJson.h"

#include <algorithm>
#include <set>

namespace fennelline {

using nlohmann::json;

namespace {

/// Maximum number of tombstones. A fleet of the design size removes fewer keys in the seconds that
/// a peer may lag behind.
constexpr std::size_t kMaxTombstones = 2000;

std::string BytesOf(const json& aValue) {
  const json::binary_t& bytes = aValue.get_binary();
  return {bytes.begin(), bytes.end()};
}

json ToBinary(const std::string& aText) {
  return json::binary(std::vector<std::uint8_t>(aText.begin(), aText.end()));
}

} // namespace

bool StoreMirror::Merge(const KeyValue& aChange) {
  KeyValue& held = m_keys[aChange.m_key];
  if (aChange.m_revision <= held.m_revision) {
    return false;
  }
  const auto awaited = m_awaited.find(aChange.m_key);
  if (awaited != m_awaited.end() && awaited->second <= aChange.m_revision) {
    m_awaited.erase(awaited);
  }
  const bool isVisibleChange = !aChange.m_removed || (held.m_revision != 0 && !held.m_removed);
  held = aChange;
  m_lastChange = std::max(m_lastChange, aChange.m_revision);
  return isVisibleChange;
}

void StoreMirror::Await(const DeferredValue& aDeferred) {
  const auto held = m_keys.find(aDeferred.m_key);
  if (held != m_keys.end() && held->second.m_revision >= aDeferred.m_revision) {
    return;
  }
  Revision& awaited = m_awaited[aDeferred.m_key];
  awaited = std::max(awaited, aDeferred.m_revision);
  m_lastChange = std::max(m_lastChange, aDeferred.m_revision);
}

void StoreMirror::Confirm(Revision aUpToRevision, Time aConfirmedAt) {
  m_upToRevision = std::max(m_upToRevision, aUpToRevision);
  m_confirmedAt = std::max(m_confirmedAt, aConfirmedAt);
}

void StoreMirror::CountComplete(Revision aChange, Revision aUpToRevision) {
  if (aChange <= aUpToRevision) {
    m_lastCompleteChange = std::max(m_lastCompleteChange, aChange);
  }
}

std::vector<KeyValue> StoreMirror::ApplyAhead(const std::vector<KeyValue>& aChanges) {
  std::vector<KeyValue> news;
  std::copy_if(aChanges.begin(), aChanges.end(), std::back_inserter(news),
               [this](const KeyValue& aChange) { return Merge(aChange); });
  return news;
}

std::vector<KeyValue> StoreMirror::Apply(const std::vector<KeyValue>& aChanges,
                                         Revision aUpToRevision, Time aConfirmedAt) {
  std::vector<KeyValue> news = ApplyAhead(aChanges);
  for (const KeyValue& change : aChanges) {
    CountComplete(change.m_revision, aUpToRevision);
  }
  Confirm(aUpToRevision, aConfirmedAt);
  PruneTombstones();
  return news;
}

std::vector<KeyValue> StoreMirror::ApplyUpdate(const MirrorUpdate& aUpdate, Time aConfirmedAt) {
  if (aUpdate.m_isListing) {
    return ApplyListing(aUpdate.m_keys, aUpdate.m_deferred, aUpdate.m_upToRevision, aConfirmedAt,
                        aUpdate.m_era);
  }
  if (Compare(aUpdate.m_era) != EraOrder::Same) {
    return {};
  }
  LearnEra(aUpdate.m_era);
  for (const DeferredValue& deferred : aUpdate.m_deferred) {
    Await(deferred);
    CountComplete(deferred.m_revision, aUpdate.m_upToRevision);
  }
  return Apply(aUpdate.m_keys, aUpdate.m_upToRevision, aConfirmedAt);
}

std::vector<KeyValue> StoreMirror::ApplyListing(const std::vector<KeyValue>& aKeys,
                                                Revision aUpToRevision, Time aConfirmedAt,
                                                std::optional<StoreEra> aEra) {
  return ApplyListing(aKeys, {}, aUpToRevision, aConfirmedAt, aEra);
}

std::vector<KeyValue> StoreMirror::ApplyListing(const std::vector<KeyValue>& aKeys,
                                                const std::vector<DeferredValue>& aDeferred,
                                                Revision aUpToRevision, Time aConfirmedAt,
                                                std::optional<StoreEra> aEra) {
  const EraOrder order = Compare(aEra);
  if (order == EraOrder::Earlier) {
    return {};
  }
  if (order == EraOrder::Later) {
    m_era = aEra;
    m_hasChangedEra = true;
    return ReplaceContents(aKeys, aDeferred, aUpToRevision, aConfirmedAt);
  }
  LearnEra(aEra);
  std::set<std::string> listed;
  std::vector<KeyValue> changes = aKeys;
  for (const KeyValue& key : aKeys) {
    listed.insert(key.m_key);
  }
  for (const DeferredValue& deferred : aDeferred) {
    listed.insert(deferred.m_key);
    Await(deferred);
    CountComplete(deferred.m_revision, aUpToRevision);
  }
  std::erase_if(m_awaited, [&](const std::pair<const std::string, Revision>& aItem) {
    return aItem.second <= aUpToRevision && !listed.contains(aItem.first);
  });
  for (const auto& [name, held] : m_keys) {
    if (!held.m_removed && held.m_revision <= aUpToRevision && !listed.contains(name)) {
      changes.push_back(
        {.m_key = name, .m_value = {}, .m_revision = aUpToRevision, .m_removed = true});
    }
  }
  m_historyStart = m_hasListing ? m_historyStart : aUpToRevision;
  m_hasListing = true;
  return Apply(changes, aUpToRevision, aConfirmedAt);
}

std::vector<KeyValue> StoreMirror::ReplaceContents(const std::vector<KeyValue>& aKeys,
                                                   const std::vector<DeferredValue>& aDeferred,
                                                   Revision aUpToRevision, Time aConfirmedAt) {
  std::map<std::string, KeyValue> before = std::exchange(m_keys, {});
  std::erase_if(before, [](const std::pair<const std::string, KeyValue>& aItem) {
    return aItem.second.m_removed;
  });
  m_awaited.clear();
  m_lastChange = 0;
  m_lastCompleteChange = 0;
  m_upToRevision = 0;
  m_historyStart = aUpToRevision;
  std::vector<KeyValue> changes;
  for (const KeyValue& key : aKeys) {
    Merge(key);
    CountComplete(key.m_revision, aUpToRevision);
    const auto held = before.find(key.m_key);
    if (held == before.end() || held->second.m_value != key.m_value) {
      changes.push_back(key);
    }
    before.erase(key.m_key);
  }
  for (const DeferredValue& deferred : aDeferred) {
    // The value of the earlier era stands in until the one that is listed has been fetched.
    const auto held = before.find(deferred.m_key);
    if (held != before.end()) {
      held->second.m_revision = 0;
      m_keys.insert(before.extract(held));
    }
    Await(deferred);
    CountComplete(deferred.m_revision, aUpToRevision);
  }
  for (const auto& [name, held] : before) {
    changes.push_back(
      {.m_key = name, .m_value = held.m_value, .m_revision = aUpToRevision, .m_removed = true});
  }
  Confirm(aUpToRevision, aConfirmedAt);
  return changes;
}

EraOrder StoreMirror::Compare(std::optional<StoreEra> aEra) const {
  if (!aEra || !m_era || *aEra == *m_era) {
    return EraOrder::Same;
  }
  return *aEra < *m_era ? EraOrder::Earlier : EraOrder::Later;
}

bool StoreMirror::HasUpdate(Revision aAfter, std::optional<Revision> aLastKnown,
                            std::optional<StoreEra> aEra) const {
  const EraOrder peer = Compare(aEra);
  if (peer != EraOrder::Same) {
    return peer == EraOrder::Earlier;
  }
  return m_lastCompleteChange > aAfter || (aLastKnown && m_lastChange > *aLastKnown);
}

void StoreMirror::PruneTombstones() {
  std::vector<const KeyValue*> tombstones;
  for (const auto& [name, held] : m_keys) {
    if (held.m_removed) {
      tombstones.push_back(&held);
    }
  }
  if (tombstones.size() <= kMaxTombstones) {
    return;
  }
  std::nth_element(tombstones.begin(), tombstones.begin() + kMaxTombstones / 2, tombstones.end(),
                   [](const KeyValue* aLeft, const KeyValue* aRight) {
                     return aLeft->m_revision < aRight->m_revision;
                   });
  const Revision horizon = tombstones[kMaxTombstones / 2]->m_revision;
  std::erase_if(m_keys, [horizon](const std::pair<const std::string, KeyValue>& aItem) {
    return aItem.second.m_removed && aItem.second.m_revision <= horizon;
  });
  m_historyStart = std::max(m_historyStart, horizon);
}

std::optional<std::vector<KeyValue>> StoreMirror::ChangesSince(Revision aAfter) const {
  if (!m_hasListing || aAfter < m_historyStart) {
    return std::nullopt;
  }
  std::vector<KeyValue> changes;
  for (const auto& [name, held] : m_keys) {
    if (held.m_revision > aAfter) {
      changes.push_back(held);
    }
  }
  return changes;
}

MirrorUpdate StoreMirror::UpdateSince(Revision aAfter, std::size_t aMaxValueBytes,
                                      std::optional<StoreEra> aEra) const {
  MirrorUpdate update{.m_era = m_era, .m_upToRevision = m_upToRevision};
  std::optional<std::vector<KeyValue>> changes;
  if (Compare(aEra) == EraOrder::Same) {
    changes = ChangesSince(aAfter);
  }
  update.m_isListing = !changes;
  const Revision after = changes ? aAfter : 0;
  if (!changes) {
    changes = Listing();
  }
  for (const auto& [key, revision] : m_awaited) {
    if (revision > after) {
      update.m_deferred.push_back({.m_key = key, .m_revision = revision});
    }
  }
  for (KeyValue& change : *changes) {
    if (m_awaited.contains(change.m_key)) {
      // The newer revision is in the update already.
      continue;
    }
    if (change.m_value.size() > aMaxValueBytes) {
      update.m_deferred.push_back({.m_key = change.m_key, .m_revision = change.m_revision});
    } else {
      update.m_keys.push_back(std::move(change));
    }
  }
  return update;
}

std::vector<KeyValue> StoreMirror::Listing() const {
  return FindPrefix("");
}

const KeyValue* StoreMirror::Find(const std::string& aKey) const {
  const auto found = m_keys.find(aKey);
  return found == m_keys.end() || found->second.m_removed ? nullptr : &found->second;
}

std::vector<KeyValue> StoreMirror::FindPrefix(std::string_view aPrefix) const {
  std::vector<KeyValue> matches;
  for (auto place = m_keys.lower_bound(std::string(aPrefix));
       place != m_keys.end() && place->first.starts_with(aPrefix); ++place) {
    if (!place->second.m_removed) {
      matches.push_back(place->second);
    }
  }
  return matches;
}

std::string EncodeMirrorUpdate(const MirrorUpdate& aUpdate) {
  json keys = json::array();
  for (const KeyValue& key : aUpdate.m_keys) {
    // Values are arbitrary bytes, so they are encoded as binary.
    keys.push_back(json::array({key.m_key, ToBinary(key.m_value), key.m_revision, key.m_removed}));
  }
  json deferred = json::array();
  for (const DeferredValue& value : aUpdate.m_deferred) {
    deferred.push_back(json::array({value.m_key, value.m_revision}));
  }
  const json document = json::array(
    {aUpdate.m_isListing, aUpdate.m_upToRevision, InMilliseconds(aUpdate.m_age),
     InMilliseconds(aUpdate.m_sinceOutage), InMilliseconds(aUpdate.m_sinceStoreAnswer),
     std::move(keys), aUpdate.m_outageRevision, std::move(deferred), EraToJson(aUpdate.m_era)});
  return EncodeMessagePack(document);
}

Result<MirrorUpdate> DecodeMirrorUpdate(const std::string& aBytes) {
  return DecodeMessagePack<MirrorUpdate>(aBytes, [](const json& aDocument) {
    MirrorUpdate update;
    update.m_isListing = aDocument.at(0).get<bool>();
    update.m_upToRevision = aDocument.at(1).get<Revision>();
    update.m_age = Milliseconds(aDocument.at(2).get<std::int64_t>());
    update.m_sinceOutage = Milliseconds(aDocument.at(3).get<std::int64_t>());
    update.m_sinceStoreAnswer = Milliseconds(aDocument.at(4).get<std::int64_t>());
    // Entries of earlier releases do not send the last fields.
    constexpr std::size_t kOutageRevision = 6;
    constexpr std::size_t kDeferred = 7;
    constexpr std::size_t kEra = 8;
    update.m_era = ReadEra(aDocument, kEra);
    if (aDocument.size() > kOutageRevision) {
      update.m_outageRevision = aDocument.at(kOutageRevision).get<Revision>();
    }
    if (aDocument.size() > kDeferred) {
      for (const json& row : aDocument.at(kDeferred)) {
        update.m_deferred.push_back(
          {.m_key = row.at(0).get<std::string>(), .m_revision = row.at(1).get<Revision>()});
      }
    }
    for (const json& row : aDocument.at(5)) {
      update.m_keys.push_back({.m_key = row.at(0).get<std::string>(),
                               .m_value = BytesOf(row.at(1)),
                               .m_revision = row.at(2).get<Revision>(),
                               .m_removed = row.at(3).get<bool>()});
    }
    return update;
  });
}

} // namespace fennelline
