#include "LibRouting/StoreMirror.h"

#include "LibRouting/MessagePack.h"

#include <algorithm>
#include <set>

namespace fennelline {

using nlohmann::json;

namespace {

/// Removed keys kept. A fleet of the size to design for loses fewer in the seconds that a peer may
/// be behind.
constexpr std::size_t kMostRemovals = 2000;

std::string BytesOf(const json& aValue) {
  const json::binary_t& bytes = aValue.get_binary();
  return {bytes.begin(), bytes.end()};
}

json ToBinary(const std::string& aText) {
  return json::binary(std::vector<std::uint8_t>(aText.begin(), aText.end()));
}

} // namespace

bool StoreMirror::Take(const KeyValue& aChange) {
  KeyValue& held = m_keys[aChange.m_key];
  if (aChange.m_revision <= held.m_revision) {
    return false;
  }
  const bool isNews = !aChange.m_removed || (held.m_revision != 0 && !held.m_removed);
  held = aChange;
  m_lastChange = std::max(m_lastChange, aChange.m_revision);
  return isNews;
}

void StoreMirror::Confirm(Revision aAsOf, Time aAsKnownAt) {
  m_asOf = std::max(m_asOf, aAsOf);
  m_knownAt = std::max(m_knownAt, aAsKnownAt);
}

std::vector<KeyValue> StoreMirror::Apply(const std::vector<KeyValue>& aChanges, Revision aAsOf,
                                         Time aAsKnownAt) {
  std::vector<KeyValue> news;
  std::copy_if(aChanges.begin(), aChanges.end(), std::back_inserter(news),
               [this](const KeyValue& aChange) { return Take(aChange); });
  Confirm(aAsOf, aAsKnownAt);
  ForgetOldRemovals();
  return news;
}

std::vector<KeyValue> StoreMirror::ApplyListing(const std::vector<KeyValue>& aKeys, Revision aAsOf,
                                                Time aAsKnownAt) {
  std::set<std::string> listed;
  std::vector<KeyValue> changes = aKeys;
  for (const KeyValue& key : aKeys) {
    listed.insert(key.m_key);
  }
  for (const auto& [name, held] : m_keys) {
    if (!held.m_removed && held.m_revision <= aAsOf && !listed.contains(name)) {
      changes.push_back({.m_key = name, .m_value = {}, .m_revision = aAsOf, .m_removed = true});
    }
  }
  m_reachesBackTo = m_hasListing ? m_reachesBackTo : aAsOf;
  m_hasListing = true;
  return Apply(changes, aAsOf, aAsKnownAt);
}

void StoreMirror::ForgetOldRemovals() {
  std::vector<const KeyValue*> removals;
  for (const auto& [name, held] : m_keys) {
    if (held.m_removed) {
      removals.push_back(&held);
    }
  }
  if (removals.size() <= kMostRemovals) {
    return;
  }
  std::nth_element(removals.begin(), removals.begin() + kMostRemovals / 2, removals.end(),
                   [](const KeyValue* aLeft, const KeyValue* aRight) {
                     return aLeft->m_revision < aRight->m_revision;
                   });
  const Revision horizon = removals[kMostRemovals / 2]->m_revision;
  std::erase_if(m_keys, [horizon](const std::pair<const std::string, KeyValue>& aItem) {
    return aItem.second.m_removed && aItem.second.m_revision <= horizon;
  });
  m_reachesBackTo = std::max(m_reachesBackTo, horizon);
}

std::optional<std::vector<KeyValue>> StoreMirror::ChangesSince(Revision aAfter) const {
  if (!m_hasListing || aAfter < m_reachesBackTo) {
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

std::string EncodeMirrorUpdate(const MirrorUpdate& aNews) {
  json keys = json::array();
  for (const KeyValue& key : aNews.m_keys) {
    // Values are any bytes, so they travel as such.
    keys.push_back(json::array({key.m_key, ToBinary(key.m_value), key.m_revision, key.m_removed}));
  }
  const json document = json::array({aNews.m_isListing, aNews.m_asOf, InMilliseconds(aNews.m_age),
                                     InMilliseconds(aNews.m_sinceOutage),
                                     InMilliseconds(aNews.m_sinceStoreAnswer), std::move(keys)});
  return EncodeMessagePack(document);
}

Result<MirrorUpdate> DecodeMirrorUpdate(const std::string& aBytes) {
  return DecodeMessagePack<MirrorUpdate>(aBytes, [](const json& aDocument) {
    MirrorUpdate news;
    news.m_isListing = aDocument.at(0).get<bool>();
    news.m_asOf = aDocument.at(1).get<Revision>();
    news.m_age = Milliseconds(aDocument.at(2).get<std::int64_t>());
    news.m_sinceOutage = Milliseconds(aDocument.at(3).get<std::int64_t>());
    news.m_sinceStoreAnswer = Milliseconds(aDocument.at(4).get<std::int64_t>());
    for (const json& row : aDocument.at(5)) {
      news.m_keys.push_back({.m_key = row.at(0).get<std::string>(),
                             .m_value = BytesOf(row.at(1)),
                             .m_revision = row.at(2).get<Revision>(),
                             .m_removed = row.at(3).get<bool>()});
    }
    return news;
  });
}

} // namespace fennelline
