#include "LibCoordination/Claims/ViewRecord.h"

#include "LibBase/FieldReader.h"
#include "LibCoordination/Claims/ClaimKeys.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <string_view>

namespace fennelline {

namespace {

Result<std::uint32_t> ParseShard(const std::string& aKey) {
  const std::string_view prefix = kViewPrefix;
  std::uint32_t shard = 0;
  const char* const end = aKey.data() + aKey.size();
  if (aKey.size() <= prefix.size() || !aKey.starts_with(prefix)) {
    return MakeError(ErrorCode::InvalidField, aKey + ": not a key of a claim view");
  }
  const std::from_chars_result read = std::from_chars(aKey.data() + prefix.size(), end, shard);
  if (read.ec != std::errc() || read.ptr != end) {
    return MakeError(ErrorCode::InvalidField, aKey + ": not a key of a claim view");
  }
  return shard;
}

Revision OrOwnRevision(std::int64_t aNumber, Revision aRevision) {
  return aNumber == 0 ? aRevision : static_cast<Revision>(aNumber);
}

} // namespace

Result<ClaimView> ParseView(const KeyValue& aKeyValue) {
  ClaimView view{.m_shard = TRY(ParseShard(aKeyValue.m_key)), .m_revision = aKeyValue.m_revision};
  const std::shared_ptr<const nlohmann::json> json = TRY(ParseJson(aKeyValue.m_value));
  if (!json->is_object()) {
    return MakeError(ErrorCode::InvalidJson, aKeyValue.m_key + ": not an object");
  }
  FieldReader reader(*json, aKeyValue.m_key);
  view.m_number = OrOwnRevision(reader.Integer("number", {.m_min = 0}), aKeyValue.m_revision);
  view.m_joining = reader.String("joining", "");
  view.m_lost = reader.Boolean("lost", false);
  reader.Objects("holders", [&](FieldReader& aHolder) {
    view.m_holders.push_back(aHolder.String("entry"));
    const std::int64_t since = aHolder.Integer("since", {.m_min = 0});
    view.m_since.push_back(OrOwnRevision(since, aKeyValue.m_revision));
  });
  TRY(reader.Finish());
  if (view.m_holders.empty()) {
    return MakeError(ErrorCode::InvalidField,
                     aKeyValue.m_key + ": a view must have at least one holder");
  }
  return view;
}

std::string WriteView(const ClaimView& aView) {
  nlohmann::json holders = nlohmann::json::array();
  for (std::size_t i = 0; i < aView.m_holders.size(); ++i) {
    holders.push_back({{"entry", aView.m_holders[i]}, {"since", aView.m_since.at(i)}});
  }
  nlohmann::json json = {{"number", aView.m_number}, {"holders", holders}};
  if (!aView.m_joining.empty()) {
    json["joining"] = aView.m_joining;
  }
  if (aView.m_lost) {
    json["lost"] = true;
  }
  return json.dump();
}

std::size_t QuorumOf(const ClaimView& aView) {
  return aView.m_holders.size() / 2 + 1;
}

bool IsHolder(const ClaimView& aView, const EntryId& aEntry) {
  return std::find(aView.m_holders.begin(), aView.m_holders.end(), aEntry) != aView.m_holders.end();
}

Revision HolderSince(const ClaimView& aView, const EntryId& aEntry) {
  const auto holder = std::find(aView.m_holders.begin(), aView.m_holders.end(), aEntry);
  if (holder == aView.m_holders.end()) {
    return 0;
  }
  return aView.m_since.at(static_cast<std::size_t>(holder - aView.m_holders.begin()));
}

} // namespace fennelline
