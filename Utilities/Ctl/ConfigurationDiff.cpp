#include "Utilities/Ctl/ConfigurationDiff.h"

#include "LibContract/Configuration.h"

#include <map>
#include <nlohmann/json.hpp>

namespace fennelline {

using nlohmann::json;

namespace {

/// Returns the name that identifies a list item, or an empty string if it has none.
std::string NameOfMember(const json& aMember) {
  for (const char* field : {"name", "customer"}) {
    if (aMember.is_object() && aMember.contains(field)) {
      return aMember[field].get<std::string>();
    }
  }
  return {};
}

/// Returns the fields of an object, or the items of a list by name. Empty for any other value.
std::map<std::string, json> MembersOf(const json& aValue) {
  std::map<std::string, json> members;
  if (aValue.is_object()) {
    for (const auto& [field, value] : aValue.items()) {
      members["." + field] = value;
    }
  } else if (aValue.is_array()) {
    for (const json& member : aValue) {
      const std::string name = NameOfMember(member);
      if (name.empty()) {
        return {};
      }
      members["[" + name + "]"] = member;
    }
  }
  return members;
}

std::string JoinPath(const std::string& aPath, const std::string& aPart) {
  const bool atRoot = aPath.empty() && aPart.starts_with('.');
  return atRoot ? aPart.substr(1) : aPath + aPart;
}

void Compare(const std::string& aPath, const json& aBefore, const json& aAfter,
             std::vector<ConfigurationChange>& aChanges) {
  if (aBefore == aAfter) {
    return;
  }
  const std::map<std::string, json> before = MembersOf(aBefore);
  std::map<std::string, json> after = MembersOf(aAfter);
  const bool canDescend = aBefore.type() == aAfter.type() && !(before.empty() && after.empty());
  if (!canDescend) {
    aChanges.push_back({ChangeKind::Changed, aPath, aBefore.dump(), aAfter.dump()});
    return;
  }
  for (const auto& [part, value] : before) {
    const auto found = after.find(part);
    if (found == after.end()) {
      aChanges.push_back({ChangeKind::Removed, JoinPath(aPath, part), value.dump(), ""});
      continue;
    }
    Compare(JoinPath(aPath, part), value, found->second, aChanges);
    after.erase(found);
  }
  for (const auto& [part, value] : after) {
    aChanges.push_back({ChangeKind::Added, JoinPath(aPath, part), "", value.dump()});
  }
}

/// Returns the document with all defaults filled in.
Result<json> Normalize(const std::string& aText) {
  const Configuration configuration = TRY(ParseConfiguration(aText));
  return json::parse(WriteConfiguration(configuration));
}

} // namespace

Result<std::vector<ConfigurationChange>> DiffConfigurations(const std::string& aBefore,
                                                            const std::string& aAfter) {
  const json before = TRY(Normalize(aBefore));
  const json after = TRY(Normalize(aAfter));
  std::vector<ConfigurationChange> changes;
  Compare("", before, after, changes);
  return changes;
}

std::string RenderChanges(const std::vector<ConfigurationChange>& aChanges) {
  std::string text;
  for (const ConfigurationChange& change : aChanges) {
    switch (change.m_kind) {
      case ChangeKind::Added:
        text += "+ " + change.m_path + ": " + change.m_after + "\n";
        break;
      case ChangeKind::Removed:
        text += "- " + change.m_path + ": " + change.m_before + "\n";
        break;
      case ChangeKind::Changed:
        text += "~ " + change.m_path + ": " + change.m_before + " -> " + change.m_after + "\n";
        break;
    }
  }
  return text;
}

} // namespace fennelline
