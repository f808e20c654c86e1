#include "Utilities/Ctl/CommandOutput.h"

#include "Utilities/Ctl/Bill.h"
#include "Utilities/Ctl/Table.h"

#include <nlohmann/json.hpp>

namespace fennelline {

using nlohmann::json;

namespace {

constexpr NameTable<ChangeKind, 3> kChangeKindNames = {{
  {ChangeKind::Added, "added"},
  {ChangeKind::Removed, "removed"},
  {ChangeKind::Changed, "changed"},
}};

json ToJson(const std::vector<ConfigurationChange>& aChanges) {
  json array = json::array();
  for (const ConfigurationChange& change : aChanges) {
    array.push_back({{"change", NameOf(kChangeKindNames, change.m_kind)},
                     {"path", change.m_path},
                     {"before", change.m_before},
                     {"after", change.m_after}});
  }
  return array;
}

std::string PercentText(const Rollout& aRollout) {
  constexpr double kPercent = 100.0;
  std::ostringstream text;
  text << aRollout.NewVersionShare() * kPercent;
  return text.str();
}

json ToJson(const Rollout& aRollout) {
  return {{"name", aRollout.m_name},
          {"from", aRollout.m_from},
          {"to", aRollout.m_to},
          {"step", aRollout.m_step},
          {"steps", aRollout.m_stepPercents},
          {"share_of_new", aRollout.NewVersionShare()},
          {"state", NameOf(kRolloutStateNames, aRollout.m_state)},
          {"reason", aRollout.m_reason}};
}

} // namespace

CommandOutput::CommandOutput(bool aJson, std::ostream& aResults, std::ostream& aErrors)
  : m_json(aJson)
  , m_results(aResults)
  , m_errors(aErrors) {}

ExitCode CommandOutput::Report(const Error& aError) {
  m_errors << "fennelline-ctl: " << aError.m_detail << "\n";
  if (m_json) {
    m_results << json({{"outcome", "error"}, {"detail", aError.m_detail}}).dump() << "\n";
  }
  return ExitCodeOf(aError);
}

void CommandOutput::PrintDocument(Revision aRevision, const std::string& aText,
                                  const std::string& aOutPath) {
  if (m_json) {
    m_results << json({{"revision", aRevision}, {"document", json::parse(aText, nullptr, false)}})
              << "\n";
  } else if (aOutPath.empty()) {
    m_results << aText;
    m_errors << "revision " << aRevision << "\n";
  } else {
    m_results << "revision " << aRevision << " written to " << aOutPath << "\n";
  }
}

void CommandOutput::PrintChanges(Revision aRevision,
                                 const std::vector<ConfigurationChange>& aChanges) {
  if (m_json) {
    m_results << json({{"revision", aRevision}, {"changes", ToJson(aChanges)}}) << "\n";
    return;
  }
  if (aChanges.empty()) {
    m_results << "no changes from revision " << aRevision << "\n";
  } else {
    m_results << RenderChanges(aChanges);
  }
}

ExitCode CommandOutput::PrintOutcome(const ApplyOutcome& aOutcome, const WorkingCopyBase& aBase,
                                     const std::string& aOwnText) {
  if (const Applied* applied = std::get_if<Applied>(&aOutcome)) {
    return PrintApplied(*applied);
  }
  if (const ApplyConflict* conflict = std::get_if<ApplyConflict>(&aOutcome)) {
    return PrintConflict(*conflict, aBase, aOwnText);
  }
  if (const ApplyUnresolved* unresolved = std::get_if<ApplyUnresolved>(&aOutcome)) {
    return PrintUnresolved(*unresolved);
  }
  return Report(MakeError(ErrorCode::Unavailable,
                          "--platform: the key-value service is not available; nothing was "
                          "written; try again later"));
}

ExitCode CommandOutput::PrintApplied(const Applied& aApplied) {
  if (m_json) {
    m_results << json({{"outcome", "applied"}, {"revision", aApplied.m_revision}}) << "\n";
  } else {
    m_results << "revision " << aApplied.m_revision << " was written; \"in-force "
              << aApplied.m_revision << "\" waits until every entry applies it\n";
  }
  return ExitCode::Ok;
}

ExitCode CommandOutput::PrintConflict(const ApplyConflict& aConflict, const WorkingCopyBase& aBase,
                                      const std::string& aOwnText) {
  const bool knowsBase = !aBase.m_text.empty();
  const Result<std::vector<ConfigurationChange>> diff =
    DiffConfigurations(knowsBase ? aBase.m_text : aOwnText, aConflict.m_text);
  const std::vector<ConfigurationChange> changes =
    diff ? diff.Get() : std::vector<ConfigurationChange>();
  if (m_json) {
    m_results << json({{"outcome", "conflict"},
                       {"read_at", aBase.m_revision},
                       {"revision", aConflict.m_revision},
                       {"compared_with", knowsBase ? "base" : "yours"},
                       {"changes", ToJson(changes)}})
              << "\n";
    return ExitCode::Conflict;
  }
  m_errors << "fennelline-ctl: conflict: revision " << aConflict.m_revision
           << " is newer than revision " << aBase.m_revision << "; nothing was written.\n"
           << (knowsBase ? "The other operator's change:\n"
                         : "Changes from your document to the current one:\n")
           << RenderChanges(changes)
           << "Read the document again with \"show --out FILE\", make your change and apply it.\n";
  return ExitCode::Conflict;
}

ExitCode CommandOutput::PrintUnresolved(const ApplyUnresolved& aUnresolved) {
  if (m_json) {
    m_results << json({{"outcome", "unresolved"}, {"revision", aUnresolved.m_revision}}) << "\n";
  } else {
    m_errors << "fennelline-ctl: the reply was lost; it is unknown whether the document was "
                "written. Check with \"show\" before you continue.\n";
  }
  return ExitCode::Unresolved;
}

ExitCode CommandOutput::PrintRollouts(const Configuration& aConfiguration,
                                      const std::string& aName) {
  Table table({"ROLL-OUT", "FROM", "TO", "STEP", "PERCENT", "STATE", "REASON"});
  json array = json::array();
  for (const Rollout& rollout : aConfiguration.m_rollouts) {
    if (!aName.empty() && rollout.m_name != aName) {
      continue;
    }
    table.AddRow(
      {rollout.m_name, rollout.m_from, rollout.m_to,
       std::to_string(rollout.m_step + 1) + "/" + std::to_string(rollout.m_stepPercents.size()),
       PercentText(rollout), std::string(NameOf(kRolloutStateNames, rollout.m_state)),
       rollout.m_reason});
    array.push_back(ToJson(rollout));
  }
  if (!aName.empty() && array.empty()) {
    return Report(
      MakeError(ErrorCode::InvalidField, "rollout: there is no roll-out named \"" + aName + "\""));
  }
  m_results << (m_json ? json({{"rollouts", array}}).dump() + "\n" : table.Render());
  return ExitCode::Ok;
}

void CommandOutput::PrintBill(const CustomerTotals& aBill, const std::string& aCurrency) {
  m_results << (m_json ? WriteBill(aBill, aCurrency) : RenderBill(aBill, aCurrency));
}

} // namespace fennelline
