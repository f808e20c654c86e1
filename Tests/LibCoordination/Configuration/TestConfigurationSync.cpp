#include "Utilities/MeasureSpread/EntryGroup.h"

#include <doctest/doctest.h>
#include <string>
#include <vector>

namespace fennelline {
namespace {

constexpr std::uint64_t kSeeds = 150;
constexpr std::size_t kEntries = 9;
constexpr std::size_t kDataCentres = 3;
/// A change is in force everywhere within this time, or new work is refused.
constexpr Duration kInForceLimit = Seconds(3);

std::string MakeDocument(std::int64_t aChange) {
  Configuration configuration;
  configuration.m_currency = "ZAR";
  ModelVersion version;
  version.m_model = "tagger";
  version.m_name = "tagger@1";
  version.m_inputMicrosPer1000Tokens = aChange;
  configuration.m_versions.push_back(version);
  return WriteConfiguration(configuration);
}

GroupSettings LossySettings() {
  GroupSettings settings;
  settings.m_dataCentres = kDataCentres;
  settings.m_mostDelay = Milliseconds(40);
  settings.m_datagramLoss = 0.05;
  settings.m_messageLoss = 0.05;
  settings.m_doubling = 0.05;
  settings.m_replyLoss = 0.02;
  return settings;
}

/// The test's own record of what the platform accepted and when.
struct AcceptedWrite {
  Time m_at;
  Revision m_revision = 0;
};

Revision NewestAsOf(const std::vector<AcceptedWrite>& aAccepted, Time aTime) {
  Revision newest = 0;
  for (const AcceptedWrite& accepted : aAccepted) {
    newest = accepted.m_at <= aTime ? accepted.m_revision : newest;
  }
  return newest;
}

Revision RevisionInForce(EntryGroup& aGroup, int aEntry) {
  const std::shared_ptr<const Configuration> current = aGroup.SpreadOf(aEntry).Current();
  return current == nullptr ? 0 : current->m_revision;
}

void CheckNeverReverts(const EntryGroup& aGroup) {
  for (std::size_t i = 0; i < aGroup.Count(); ++i) {
    Revision last = 0;
    for (const EntryJournal::InForce& inForce : aGroup.JournalOf(static_cast<int>(i)).m_inForce) {
      CHECK(inForce.m_revision > last);
      last = inForce.m_revision;
    }
  }
}

void CheckAllHave(EntryGroup& aGroup, Revision aRevision) {
  for (std::size_t i = 0; i < aGroup.Count(); ++i) {
    const int entry = static_cast<int>(i);
    if (aGroup.IsUp(entry)) {
      CHECK(RevisionInForce(aGroup, entry) == aRevision);
      CHECK(aGroup.SpreadOf(entry).Status(aGroup.Now()) == ConfigurationStatus::Current);
    }
  }
}

/// A group under random faults, with its own record of accepted writes.
class FaultyRun {
public:
  explicit FaultyRun(std::uint64_t aSeed)
    : m_group(LossySettings(), aSeed)
    , m_random(aSeed * 31 + 7) {
    Write();
    m_group.StartMany(kEntries);
    m_group.RunFor(Seconds(5));
  }

  void Run(int aSteps) {
    for (int step = 0; step < aSteps; ++step) {
      Act();
      for (int slice = 0; slice < 10; ++slice) {
        m_group.RunFor(Milliseconds(100));
        CheckStaleness();
      }
    }
  }

  void HealAll() {
    m_group.Platform().m_down = false;
    m_group.Platform().Thaw();
    m_frozen = false;
    m_group.Heal();
    for (std::size_t i = 0; i < m_group.Count(); ++i) {
      if (m_group.IsPaused(static_cast<int>(i))) {
        m_group.Resume(static_cast<int>(i));
      }
    }
  }

  Revision Write() {
    const Revision revision = m_group.Platform().Write(kConfigurationKey, MakeDocument(++m_change));
    m_accepted.push_back({m_group.Now(), revision});
    return revision;
  }

  EntryGroup& Group() { return m_group; }

private:
  void Act() {
    const int entry = static_cast<int>(m_random.Below(m_group.Count()));
    switch (m_random.Below(10)) {
      case 0:
        m_group.Platform().m_down = !m_group.Platform().m_down;
        break;
      case 1:
        Restart(entry);
        break;
      case 2:
        m_group.IsPaused(entry) ? m_group.Resume(entry) : m_group.Pause(entry);
        break;
      case 3:
        IsolateDataCentre();
        break;
      case 4:
        HealAll();
        break;
      case 5:
        ToggleStalePlatform();
        break;
      default:
        if (!m_group.Platform().m_down && !m_frozen) {
          Write();
        }
        break;
    }
  }

  void Restart(int aEntry) {
    if (!m_group.IsUp(aEntry)) {
      return;
    }
    m_group.Kill(aEntry);
    const std::string& id = m_group.NameOf(aEntry);
    const std::string name = id.substr(0, id.find('#'));
    const std::size_t dataCentre =
      static_cast<std::size_t>(std::stoi(name.substr(1))) % kDataCentres;
    const int side = m_group.SideOf(aEntry);
    m_group.SetSide(m_group.Start(name, dataCentre), side);
  }

  void IsolateDataCentre() {
    const std::size_t isolated = m_random.Below(kDataCentres);
    for (std::size_t i = 0; i < m_group.Count(); ++i) {
      const std::string& id = m_group.NameOf(static_cast<int>(i));
      const std::size_t dataCentre =
        static_cast<std::size_t>(std::stoi(id.substr(1))) % kDataCentres;
      m_group.SetSide(static_cast<int>(i), dataCentre == isolated ? 1 : 0);
    }
    m_group.SetPlatformSide(m_random.Chance(0.5) ? 1 : 0);
  }

  void ToggleStalePlatform() {
    m_frozen = !m_frozen;
    if (m_frozen) {
      m_group.Platform().Freeze();
    } else {
      m_group.Platform().Thaw();
    }
  }

  /// An entry that accepts new work has every revision that was accepted longer ago than the limit,
  /// unless the platform is down for all.
  void CheckStaleness() {
    const Time now = m_group.Now();
    for (std::size_t i = 0; i < m_group.Count(); ++i) {
      const int entry = static_cast<int>(i);
      if (!m_group.IsUp(entry) || m_group.IsPaused(entry)) {
        continue;
      }
      const ConfigurationStatus status = m_group.SpreadOf(entry).Status(now);
      if (status == ConfigurationStatus::Current) {
        CHECK(RevisionInForce(m_group, entry) >= NewestAsOf(m_accepted, now - kInForceLimit));
      }
      if (status == ConfigurationStatus::PlatformDownForAll) {
        const Duration limit = kInForceLimit + Milliseconds(1500);
        CHECK(RevisionInForce(m_group, entry) >= NewestAsOf(m_accepted, now - limit));
      }
    }
  }

  EntryGroup m_group;
  Random m_random;
  std::int64_t m_change = 0;
  bool m_frozen = false;
  std::vector<AcceptedWrite> m_accepted;
};

TEST_CASE("under random faults the configuration never reverts and stale entries refuse new work") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    FaultyRun run(seed);
    run.Run(30);
    run.HealAll();
    run.Group().RunFor(Seconds(2));
    const Revision last = run.Write();
    run.Group().RunFor(kInForceLimit);
    CheckNeverReverts(run.Group());
    CheckAllHave(run.Group(), last);
  }
}

TEST_CASE(
  "a change is in force everywhere within 3 s while a watcher is dead and replies are lost") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    GroupSettings settings = LossySettings();
    settings.m_replyLoss = 0.1;
    EntryGroup group(settings, seed);
    group.Platform().Write(kConfigurationKey, MakeDocument(1));
    group.StartMany(kEntries);
    group.RunFor(Seconds(10));
    group.Kill(static_cast<int>(seed % kEntries));
    const Revision revision = group.Platform().Write(kConfigurationKey, MakeDocument(2));
    group.RunFor(kInForceLimit);
    CheckAllHave(group, revision);
  }
}

TEST_CASE("an older document that arrives late from any source is not applied") {
  EntryGroup group(GroupSettings{}, 1);
  const Revision older = group.Platform().Write(kConfigurationKey, MakeDocument(1));
  group.StartMany(3);
  group.RunFor(Seconds(5));
  const Revision newer = group.Platform().Write(kConfigurationKey, MakeDocument(2));
  group.RunFor(Seconds(2));
  group.InjectMessage(0, group.NameOf(1), ConfigurationDocument{older, MakeDocument(1)});
  CHECK(RevisionInForce(group, 0) == newer);
  CheckNeverReverts(group);
}

TEST_CASE("a VM that starts with a stale platform adopts the newer revision of its peers") {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    CAPTURE(seed);
    EntryGroup group(GroupSettings{}, seed);
    group.Platform().Write(kConfigurationKey, MakeDocument(1));
    group.StartMany(kEntries);
    group.RunFor(Seconds(5));
    const Revision newer = group.Platform().Write(kConfigurationKey, MakeDocument(2));
    group.RunFor(Seconds(3));
    // From now on the platform replies with its state before the last write.
    FakePlatform& platform = group.Platform();
    platform.FreezeWithout(kConfigurationKey, MakeDocument(1), newer - 1);
    const int late = group.Start("e20", 1);
    for (int slice = 0; slice < 40; ++slice) {
      group.RunFor(Milliseconds(50));
      const ConfigurationStatus status = group.SpreadOf(late).Status(group.Now());
      if (status == ConfigurationStatus::Current) {
        CHECK(RevisionInForce(group, late) == newer);
      }
    }
    CHECK(RevisionInForce(group, late) == newer);
    CheckNeverReverts(group);
  }
}

TEST_CASE(
  "a VM that starts during a platform outage adopts its peers' highest revision and serves") {
  EntryGroup group(GroupSettings{}, 4);
  group.Platform().Write(kConfigurationKey, MakeDocument(1));
  group.StartMany(kEntries);
  group.RunFor(Seconds(5));
  const Revision newest = group.Platform().Write(kConfigurationKey, MakeDocument(2));
  group.RunFor(Seconds(3));
  group.Platform().m_down = true;
  group.RunFor(Seconds(60));
  const int late = group.Start("e20", 1);
  group.RunFor(Seconds(6));
  CHECK(RevisionInForce(group, late) == newest);
  const ConfigurationStatus status = group.SpreadOf(late).Status(group.Now());
  CHECK(status == ConfigurationStatus::PlatformDownForAll);
}

TEST_CASE("if no entry reaches the platform, every entry continues serving; an entry that alone is "
          "cut off refuses") {
  EntryGroup group(GroupSettings{}, 5);
  group.Platform().Write(kConfigurationKey, MakeDocument(1));
  group.StartMany(kEntries);
  group.RunFor(Seconds(5));
  group.SetSide(0, 1);
  group.RunFor(Milliseconds(3200));
  CHECK(group.SpreadOf(0).Status(group.Now()) == ConfigurationStatus::CutOff);
  CHECK(group.SpreadOf(1).Status(group.Now()) == ConfigurationStatus::Current);
  group.Heal();
  group.RunFor(Seconds(5));
  group.Platform().m_down = true;
  group.RunFor(Seconds(6));
  for (int entry = 0; entry < static_cast<int>(kEntries); ++entry) {
    const ConfigurationStatus status = group.SpreadOf(entry).Status(group.Now());
    CHECK(status == ConfigurationStatus::PlatformDownForAll);
  }
}

TEST_CASE("a platform reply with an older revision confirms nothing") {
  EntryGroup group(GroupSettings{}, 8);
  const Revision older = group.Platform().Write(kConfigurationKey, MakeDocument(1));
  group.StartMany(kEntries);
  group.RunFor(Seconds(5));
  const Revision newer = group.Platform().Write(kConfigurationKey, MakeDocument(2));
  group.RunFor(Seconds(3));
  group.Platform().FreezeWithout(kConfigurationKey, MakeDocument(1), older);
  group.SetSide(0, 1);
  group.SetPlatformSide(1);
  group.RunFor(Seconds(4));
  CHECK(RevisionInForce(group, 0) == newer);
  CHECK(group.SpreadOf(0).Status(group.Now()) == ConfigurationStatus::CutOff);
}

TEST_CASE("a document that cannot be parsed leaves the last valid one in force") {
  EntryGroup group(GroupSettings{}, 6);
  const Revision good = group.Platform().Write(kConfigurationKey, MakeDocument(1));
  group.StartMany(3);
  group.RunFor(Seconds(3));
  group.Platform().Write(kConfigurationKey, R"({"schema": "of next year"})");
  group.RunFor(Seconds(3));
  for (int entry = 0; entry < 3; ++entry) {
    CHECK(RevisionInForce(group, entry) == good);
    CHECK(group.JournalOf(entry).m_unreadable.size() == 1);
  }
  const Revision next = group.Platform().Write(kConfigurationKey, MakeDocument(3));
  group.RunFor(Seconds(3));
  CheckAllHave(group, next);
}

TEST_CASE("documents are sent as deltas") {
  ConfigurationHistory history(4);
  history.Add({1, "abcdefgh"});
  history.Add({2, "abcXYefgh"});
  const Message message = history.MakeMessage(1);
  const ConfigurationDelta& delta = std::get<ConfigurationDelta>(message);
  CHECK(delta.m_middle == "XY");
  ConfigurationHistory receiver(4);
  receiver.Add({1, "abcdefgh"});
  CHECK(receiver.Resolve(delta)->m_text == "abcXYefgh");
  ConfigurationHistory other(4);
  other.Add({1, "abcdefgi"});
  CHECK_FALSE(other.Resolve(delta).has_value());
  CHECK(std::holds_alternative<ConfigurationDocument>(history.MakeMessage(9)));
}

} // namespace
} // namespace fennelline
