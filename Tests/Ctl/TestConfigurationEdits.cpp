#include "Tests/Ctl/SampleConfiguration.h"
#include "Utilities/Ctl/ConfigurationDiff.h"
#include "Utilities/Ctl/ConfigurationEdits.h"

#include <doctest/doctest.h>

using namespace fennelline;
using namespace fennelline::test;

namespace {

Configuration Sample() {
  return ParseConfiguration(SampleConfiguration()).Take();
}

const RolloutRequest kRequest{"to-2", "tagger@1", "tagger@2", {1, 25, 100}};

} // namespace

TEST_CASE("a roll-out starts, pauses, resumes and is rolled back when its version is withdrawn") {
  Configuration configuration = Sample();
  REQUIRE(StartRollout(configuration, kRequest));
  CHECK(StartRollout(configuration, kRequest).IsError());
  CHECK(ResumeRollout(configuration, "to-2").IsError());
  REQUIRE(PauseRollout(configuration, "to-2"));
  CHECK(configuration.m_rollouts.at(0).m_state == RolloutState::Paused);
  REQUIRE(ResumeRollout(configuration, "to-2"));
  REQUIRE(WithdrawVersion(configuration, "tagger@2", VersionState::Draining));
  CHECK(configuration.m_rollouts.at(0).m_state == RolloutState::RolledBack);
  CHECK(FindVersion(configuration, "tagger@2")->m_state == VersionState::Draining);
  CHECK(ParseConfiguration(WriteConfiguration(configuration)));
}

TEST_CASE("a roll-out to a withdrawn or unknown version is rejected") {
  Configuration configuration = Sample();
  REQUIRE(WithdrawVersion(configuration, "tagger@2", VersionState::Revoked));
  CHECK(StartRollout(configuration, kRequest).GetError().m_detail ==
        "--to: \"tagger@2\" is revoked; set its state to serving with \"apply\" first");
  CHECK(StartRollout(configuration, {"x", "tagger@1", "tagger@7", {1}}).IsError());
  CHECK(PauseRollout(configuration, "other").IsError());
}

TEST_CASE("roll-out steps must be increasing percentages") {
  CHECK(ParsePercents("0.5,25,100").Get() == std::vector<double>{0.5, 25, 100});
  for (const char* text : {"", "0", "101", "5,5", "5,1", "x", "5,,6", "5x"}) {
    CHECK(ParsePercents(text).IsError());
  }
}

TEST_CASE("a diff identifies list items by name") {
  Configuration configuration = Sample();
  const std::string before = WriteConfiguration(configuration);
  configuration.m_versions.erase(configuration.m_versions.begin());
  configuration.m_contracts.at(0).m_kinds.at(0).m_deadline = Milliseconds(250);
  configuration.m_contracts.at(0).m_models.push_back("tagger@2");
  configuration.m_contracts.at(0).m_kinds.push_back({.m_name = "brief", .m_deadline = Seconds(9)});
  const std::vector<ConfigurationChange> changes =
    DiffConfigurations(before, WriteConfiguration(configuration)).Take();
  REQUIRE(changes.size() == 4);
  CHECK(changes[0].m_path == "contracts[mopane].kinds[tag].deadline_ms");
  CHECK(changes[0].m_after == "250");
  CHECK(changes[1].m_path == "contracts[mopane].kinds[brief]");
  CHECK(changes[1].m_kind == ChangeKind::Added);
  CHECK(changes[2].m_path == "contracts[mopane].models");
  CHECK(changes[3].m_path == "versions[tagger@1]");
  CHECK(changes[3].m_kind == ChangeKind::Removed);
}

TEST_CASE("a diff ignores omitted defaults and the order of list items") {
  const std::string written = WriteConfiguration(Sample());
  CHECK(DiffConfigurations(SampleConfiguration(), written).Get().empty());
  Configuration reversed = Sample();
  std::swap(reversed.m_versions[0], reversed.m_versions[1]);
  CHECK(DiffConfigurations(written, WriteConfiguration(reversed)).Get().empty());
}
