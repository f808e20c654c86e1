#include "LibRouting/StoreMirror.h"

#include "LibRouting/MessagePack.h"

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
  const bool isVisibleChange = !aChange.m_removed || (held.m_revision != 0 && !held.m_removed);
  held = aChange;
  m_lastChange = std::max(m_lastChange, aChange.m_revision);
  return isVisibleChange;
}

void StoreMirror::Confirm(Revision aUpToRevision, Time aConfirmedAt) {
  m_upToRevision = std::max(m_upToRevision, aUpToRevision);
  m_confirmedAt = std::max(m_confirmedAt, aConfirmedAt);
}

std::vector<KeyValue> StoreMirror::Apply(const std::vector<KeyValue>& aChanges,
                                         Revision aUpToRevision, Time aConfirmedAt) {
  std::vector<KeyValue> news;
  std::copy_if(aChanges.begin(), aChanges.end(), std::back_inserter(news),
               [this](const KeyValue& aChange) { return Merge(aChange); });
  Confirm(aUpToRevision, aConfirmedAt);
  PruneTombstones();
  return news;
}

std::vector<KeyValue> StoreMirror::ApplyListing(const std::vector<KeyValue>& aKeys,
                                                Revision aUpToRevision, Time aConfirmedAt) {
  std::set<std::string> listed;
  std::vector<KeyValue> changes = aKeys;
  for (const KeyValue& key : aKeys) {
    listed.insert(key.m_key);
  }
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
  const json document =
    json::array({aUpdate.m_isListing, aUpdate.m_upToRevision, InMilliseconds(aUpdate.m_age),
                 InMilliseconds(aUpdate.m_sinceOutage), InMilliseconds(aUpdate.m_sinceStoreAnswer),
                 std::move(keys), aUpdate.m_outageRevision});
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
    // Entries of earlier releases do not send it.
    update.m_outageRevision = aDocument.size() > 6 ? aDocument.at(6).get<Revision>() : 0;
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
