#pragma once

#include "LibContract/Configuration.h"
#include "LibCoordination/Configuration/ApplyOperation.h"
#include "LibCoordination/Usage/Ledger.h"
#include "Utilities/Ctl/ConfigurationDiff.h"
#include "Utilities/Ctl/ExitCode.h"
#include "Utilities/Ctl/WorkingCopy.h"

#include <ostream>
#include <string>
#include <vector>

namespace fennelline {

/// Prints results as plain text or as one JSON document, and errors as text.
class CommandOutput {
public:
  CommandOutput(bool aJson, std::ostream& aResults, std::ostream& aErrors);

  bool IsJson() const { return m_json; }
  void Print(const std::string& aText) { m_results << aText; }

  ExitCode Report(const Error& aError);
  void PrintDocument(Revision aRevision, const std::string& aText, const std::string& aOutPath);
  void PrintChanges(Revision aRevision, const std::vector<ConfigurationChange>& aChanges);
  /// Prints the outcome of a write. For a conflict, also prints the other operator's change.
  ExitCode PrintOutcome(const ApplyOutcome& aOutcome, const WorkingCopyBase& aBase,
                        const std::string& aOwnText);
  ExitCode PrintRollouts(const Configuration& aConfiguration, const std::string& aName);
  void PrintBill(const CustomerTotals& aBill, const std::string& aCurrency);

private:
  ExitCode PrintApplied(const Applied& aApplied);
  ExitCode PrintConflict(const ApplyConflict& aConflict, const WorkingCopyBase& aBase,
                         const std::string& aOwnText);
  ExitCode PrintUnresolved(const ApplyUnresolved& aUnresolved);

  bool m_json;
  std::ostream& m_results;
  std::ostream& m_errors;
};

} // namespace fennelline
