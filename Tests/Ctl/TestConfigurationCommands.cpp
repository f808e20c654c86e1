#include "Tests/Ctl/FakePlatform.h"
#include "Tests/Ctl/SampleConfiguration.h"
#include "Utilities/Ctl/ConfigurationCommands.h"
#include "Utilities/Ctl/ConfigurationEdits.h"

#include <doctest/doctest.h>
#include <sstream>

using namespace fennelline;
using namespace fennelline::test;

namespace {

struct Operator {
  explicit Operator(FakePlatform& aPlatform, bool aJson = false)
    : m_output(aJson, m_results, m_errors)
    , m_store(aPlatform, m_clock)
    , m_commands(m_store, m_output) {}

  std::ostringstream m_results;
  std::ostringstream m_errors;
  CommandOutput m_output;
  FakeClock m_clock;
  ConfigurationStore<FakePlatform, FakeClock> m_store;
  ConfigurationCommands<ConfigurationStore<FakePlatform, FakeClock>> m_commands;
};

ConfigurationEdit Revoke(const std::string& aVersion) {
  return [aVersion](Configuration& aConfiguration) {
    return WithdrawVersion(aConfiguration, aVersion, VersionState::Revoked);
  };
}

} // namespace

TEST_CASE("show fails until a first document is applied, then prints it") {
  FakePlatform platform;
  Operator first(platform);
  CHECK(first.m_commands.Show("") == ExitCode::Failed);
  CHECK(first.m_commands.Apply(SampleConfiguration(), {}) == ExitCode::Ok);
  CHECK(first.m_commands.AppliedRevision() == Revision{1});
  CHECK(first.m_commands.Show("") == ExitCode::Ok);
  CHECK(first.m_errors.str().ends_with("revision 1\n"));
}

TEST_CASE("the second of two concurrent applies gets a conflict that shows the other change") {
  FakePlatform platform;
  const Revision read = platform.Write(kConfigurationKey, SampleConfiguration());
  const WorkingCopyBase base{read, SampleConfiguration()};
  Operator first(platform);
  Operator second(platform);
  CHECK(first.m_commands.Apply(SampleConfiguration("2000"), base) == ExitCode::Ok);
  CHECK(second.m_commands.Apply(SampleConfiguration("3000"), base) == ExitCode::Conflict);
  CHECK(second.m_errors.str().find("~ contracts[mopane].spend_limit_micros: 1000 -> 2000") !=
        std::string::npos);
  CHECK_FALSE(second.m_commands.AppliedRevision());
  CHECK(platform.Value(kConfigurationKey) == SampleConfiguration("2000"));
}

TEST_CASE("apply resolves a lost write reply by reading the document back") {
  FakePlatform platform;
  const Revision read = platform.Write(kConfigurationKey, SampleConfiguration());
  platform.m_loseNextWriteReply = true;
  Operator first(platform);
  CHECK(first.m_commands.Apply(SampleConfiguration("2000"), {read, ""}) == ExitCode::Ok);
  CHECK(platform.Value(kConfigurationKey) == SampleConfiguration("2000"));
}

TEST_CASE("an outage is reported as unavailable; an invalid document is rejected before any call") {
  FakePlatform platform;
  platform.m_down = true;
  Operator first(platform);
  CHECK(first.m_commands.Show("") == ExitCode::Unavailable);
  CHECK(first.m_commands.Apply(SampleConfiguration(), {}) == ExitCode::Unavailable);
  const int calls = platform.m_calls;
  CHECK(first.m_commands.Apply(R"({"currency": "ZAR", "verions": []})", {}) == ExitCode::BadInput);
  CHECK(first.m_errors.str().find("verions: unknown field; allowed are: ") != std::string::npos);
  CHECK(platform.m_calls == calls);
}

TEST_CASE("apply is unresolved when an outage follows a lost write reply") {
  FakePlatform platform;
  const Revision read = platform.Write(kConfigurationKey, SampleConfiguration());
  platform.m_loseNextWriteReply = true;
  platform.m_beforeCall = [&platform](const PlatformRequest& aRequest) {
    platform.m_down = std::holds_alternative<GetKey>(aRequest);
  };
  Operator first(platform, true);
  CHECK(first.m_commands.Apply(SampleConfiguration("2000"), {read, ""}) == ExitCode::Unresolved);
  CHECK(first.m_results.str().find("\"unresolved\"") != std::string::npos);
}

TEST_CASE("an edit is retried after a concurrent write and keeps both changes") {
  FakePlatform platform;
  platform.Write(kConfigurationKey, SampleConfiguration());
  bool interfered = false;
  platform.m_beforeCall = [&](const PlatformRequest& aRequest) {
    if (std::holds_alternative<PutKey>(aRequest) && !interfered) {
      interfered = true;
      platform.Write(kConfigurationKey, SampleConfiguration("2000"));
    }
  };
  Operator first(platform);
  CHECK(first.m_commands.Edit(Revoke("tagger@2")) == ExitCode::Ok);
  const Configuration after = ParseConfiguration(platform.Value(kConfigurationKey)).Take();
  CHECK(FindVersion(after, "tagger@2")->m_state == VersionState::Revoked);
  CHECK(FindContract(after, "mopane")->m_spendLimitMicros == 2000);
}

TEST_CASE("an invalid edit writes nothing and its error says how to fix it") {
  FakePlatform platform;
  platform.Write(kConfigurationKey, SampleConfiguration());
  Operator first(platform);
  CHECK(first.m_commands.Edit(Revoke("tagger@9")) == ExitCode::BadInput);
  CHECK(first.m_errors.str().find("\"show\" lists them") != std::string::npos);
  CHECK(platform.Value(kConfigurationKey) == SampleConfiguration());
}

TEST_CASE("diff prints changes as text or JSON") {
  FakePlatform platform;
  platform.Write(kConfigurationKey, SampleConfiguration());
  Operator people(platform);
  CHECK(people.m_commands.Diff(SampleConfiguration("5")) == ExitCode::Ok);
  CHECK(people.m_results.str() == "~ contracts[mopane].spend_limit_micros: 1000 -> 5\n");
  Operator programs(platform, true);
  CHECK(programs.m_commands.Diff(SampleConfiguration("5")) == ExitCode::Ok);
  CHECK(programs.m_results.str().find("\"change\":\"changed\"") != std::string::npos);
}

TEST_CASE("a bill adds ledgers to the totals without counting merged usage twice") {
  FakePlatform platform;
  platform.Write(kConfigurationKey, SampleConfiguration());
  Ledger ledger;
  ledger.m_customers["mopane"] = {100, 2};
  platform.Write(LedgerKey("e1#1"), WriteLedger(ledger));
  platform.Write(LedgerKey("e2#1"), WriteLedger(ledger));
  LedgerTotals totals;
  totals.m_customers["mopane"] = {1'000, 20};
  totals.m_folded[LedgerKey("e2#1")] = {2, {{"mopane", {100, 2}}}};
  platform.Write(kTotalsKey, WriteTotals(totals));
  Operator first(platform, true);
  CHECK(first.m_commands.Bill() == ExitCode::Ok);
  CHECK(first.m_results.str() ==
        "{\"currency\":\"ZAR\",\"customers\":{\"mopane\":{\"micros\":1100,\"requests\":22}}}\n");
}

TEST_CASE("a bill is read again when ledgers are merged into the totals during the read") {
  FakePlatform platform;
  platform.Write(kConfigurationKey, SampleConfiguration());
  Ledger ledger;
  ledger.m_customers["mopane"] = {100, 2};
  platform.Write(LedgerKey("e1#1"), WriteLedger(ledger));
  int lists = 0;
  platform.m_beforeCall = [&](const PlatformRequest& aRequest) {
    const ListKeys* list = std::get_if<ListKeys>(&aRequest);
    if (list != nullptr && list->m_prefix == kLedgerPrefix && ++lists == 1) {
      LedgerTotals totals;
      totals.m_customers["mopane"] = {100, 2};
      totals.m_folded[LedgerKey("e1#1")] = {2, {{"mopane", {100, 2}}}};
      platform.Write(kTotalsKey, WriteTotals(totals));
    }
  };
  Operator first(platform, true);
  CHECK(first.m_commands.Bill() == ExitCode::Ok);
  CHECK(first.m_results.str().find("\"micros\":100,") != std::string::npos);
  CHECK(lists == 2);
}
