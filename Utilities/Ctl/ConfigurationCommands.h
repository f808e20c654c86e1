#pragma once

#include "LibContract/Configuration.h"
#include "LibCoordination/Usage/UsageLedger.h"
#include "Utilities/Ctl/Bill.h"
#include "Utilities/Ctl/CommandOutput.h"
#include "Utilities/Ctl/ConfigurationDiff.h"
#include "Utilities/Ctl/ConfigurationStore.h"
#include "Utilities/Ctl/ExitCode.h"
#include "Utilities/Ctl/WorkingCopy.h"

#include <functional>
#include <optional>
#include <string>

namespace fennelline {

/// A change that can be reapplied to a newer document after a conflict.
using ConfigurationEdit = std::function<Result<void>(Configuration&)>;

/// Commands that read or change the configuration stored in the platform.
template<typename Store>
class ConfigurationCommands {
public:
  ConfigurationCommands(Store& aStore, CommandOutput& aOutput)
    : m_store(aStore)
    , m_output(aOutput) {}

  /// Prints the document, or writes it to a file for editing.
  ExitCode Show(const std::string& aOutPath) {
    const Result<StoredConfiguration> stored = m_store.Read();
    if (stored.IsError()) {
      return m_output.Report(stored.GetError());
    }
    if (!aOutPath.empty()) {
      const Result<void> written =
        WriteWorkingCopy(aOutPath, {stored.Get().m_revision, stored.Get().m_text});
      if (written.IsError()) {
        return m_output.Report(written.GetError());
      }
    }
    m_output.PrintDocument(stored.Get().m_revision, stored.Get().m_text, aOutPath);
    return ExitCode::Ok;
  }

  /// Prints the difference between the stored document and aText.
  ExitCode Diff(const std::string& aText) {
    const Result<StoredConfiguration> stored = m_store.Read();
    if (stored.IsError()) {
      return m_output.Report(stored.GetError());
    }
    const Result<std::vector<ConfigurationChange>> changes =
      DiffConfigurations(stored.Get().m_text, aText);
    if (changes.IsError()) {
      return m_output.Report(changes.GetError());
    }
    m_output.PrintChanges(stored.Get().m_revision, changes.Get());
    return ExitCode::Ok;
  }

  /// Writes an edited document if the stored one is still at aBase's revision.
  ExitCode Apply(const std::string& aText, const WorkingCopyBase& aBase) {
    const Result<Configuration> checked = ParseConfiguration(aText);
    if (checked.IsError()) {
      return m_output.Report(checked.GetError());
    }
    const ApplyOutcome outcome = m_store.Apply(aText, aBase.m_revision);
    m_applied = RevisionOf(outcome);
    return m_output.PrintOutcome(outcome, aBase, aText);
  }

  /// Applies a change to the newest document and retries when another operator writes concurrently.
  ExitCode Edit(const ConfigurationEdit& aEdit) {
    for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
      const Result<StoredConfiguration> stored = m_store.Read();
      if (stored.IsError()) {
        return m_output.Report(stored.GetError());
      }
      const Result<std::string> edited = EditText(stored.Get().m_text, aEdit);
      if (edited.IsError()) {
        return m_output.Report(edited.GetError());
      }
      const ApplyOutcome outcome = m_store.Apply(edited.Get(), stored.Get().m_revision);
      const bool again =
        std::holds_alternative<ApplyConflict>(outcome) && attempt + 1 < kMaxAttempts;
      if (!again) {
        const WorkingCopyBase base{stored.Get().m_revision, stored.Get().m_text};
        return m_output.PrintOutcome(outcome, base, edited.Get());
      }
    }
    return ExitCode::Conflict;
  }

  /// Prints all roll-outs, or only the named one.
  ExitCode RolloutStatus(const std::string& aName) {
    const Result<StoredConfiguration> stored = m_store.Read();
    if (stored.IsError()) {
      return m_output.Report(stored.GetError());
    }
    const Result<Configuration> configuration = ParseConfiguration(stored.Get().m_text);
    if (configuration.IsError()) {
      return m_output.Report(configuration.GetError());
    }
    return m_output.PrintRollouts(configuration.Get(), aName);
  }

  /// Prints the amount due for each customer.
  ExitCode Bill() {
    const Result<StoredConfiguration> stored = m_store.Read();
    if (stored.IsError()) {
      return m_output.Report(stored.GetError());
    }
    const Result<Configuration> configuration = ParseConfiguration(stored.Get().m_text);
    const Result<CustomerTotals> bill = ReadBill();
    if (bill.IsError()) {
      return m_output.Report(bill.GetError());
    }
    m_output.PrintBill(bill.Get(), configuration ? configuration.Get().m_currency : "");
    return ExitCode::Ok;
  }

  /// The revision that the last Apply() wrote, if it succeeded.
  std::optional<Revision> AppliedRevision() const { return m_applied; }

private:
  static constexpr int kMaxAttempts = 5;

  static std::optional<Revision> RevisionOf(const ApplyOutcome& aOutcome) {
    const Applied* applied = std::get_if<Applied>(&aOutcome);
    return applied == nullptr ? std::nullopt : std::optional<Revision>(applied->m_revision);
  }

  static Result<std::string> EditText(const std::string& aText, const ConfigurationEdit& aEdit) {
    Configuration configuration = TRY(ParseConfiguration(aText));
    TRY(aEdit(configuration));
    std::string edited = WriteConfiguration(configuration);
    TRY(ParseConfiguration(edited));
    return edited;
  }

  struct TotalsAt {
    Revision m_revision = kAbsent;
    LedgerTotals m_totals;
  };

  Result<TotalsAt> ReadTotals() {
    const std::vector<KeyValue> keys = TRY(m_store.List(kTotalsKey));
    for (const KeyValue& keyValue : keys) {
      if (keyValue.m_key == kTotalsKey) {
        return TotalsAt{keyValue.m_revision, TRY(ParseTotals(keyValue.m_value))};
      }
    }
    return TotalsAt{};
  }

  /// Ledgers may be merged into the totals while they are listed, so the totals are read before and
  /// after, and the read is repeated when their revision has changed.
  Result<CustomerTotals> ReadBill() {
    for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
      const TotalsAt before = TRY(ReadTotals());
      const std::vector<KeyValue> ledgers = TRY(m_store.List(kLedgerPrefix));
      const TotalsAt after = TRY(ReadTotals());
      if (before.m_revision == after.m_revision) {
        return ComputeBill(after.m_totals, ledgers);
      }
    }
    return MakeError(ErrorCode::Unavailable,
                     "the usage totals changed during every read; try again");
  }

  Store& m_store;
  CommandOutput& m_output;
  std::optional<Revision> m_applied;
};

} // namespace fennelline
