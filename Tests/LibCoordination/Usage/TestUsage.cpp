#include "LibCoordination/Usage/SequenceRanges.h"
#include "LibCoordination/Usage/UsageLedger.h"
#include "Tests/LibCoordination/Fakes/SimulatedCluster.h"

#include <cstdlib>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace fennelline;

namespace {

/// Entries with usage ledgers. Each record has its own customer, so that the platform's keys show
/// how often each record was billed. They are parsed here without the code under test.
class UsageWorld {
public:
  explicit UsageWorld(std::uint64_t aSeed, FakeFaults aFaults = {})
    : m_world(aSeed, aFaults)
    , m_seeds(aSeed) {
    m_world.OnOutcome([this](const EntryId&, const UsageOutcome& aOutcome) {
      ++m_reports[aOutcome.m_identity.m_customer];
      m_durable[aOutcome.m_identity.m_customer] = aOutcome.m_result == UsageResult::Durable;
    });
  }

  static UsageSettings SmallSettings() {
    return {.m_settleInterval = Milliseconds(800),
            .m_callTimeout = Milliseconds(400),
            .m_deadDelay = Milliseconds(300),
            .m_compactAfter = Seconds(30),
            .m_compactInterval = Seconds(3)};
  }

  EntryId Add(int aDataCentre) {
    const EntryId entry = "entry-" + std::to_string(++m_entries) + "#1";
    const DataCentre dataCentre = "dc-" + std::to_string(aDataCentre);
    m_world.Add(entry, dataCentre, UsageLedger(SmallSettings(), entry, dataCentre, m_seeds.Next()));
    return entry;
  }

  void Start(int aEntries) {
    for (int i = 0; i < aEntries; ++i) {
      Add(i % 3);
    }
    RunFor(Seconds(1));
  }

  void RunFor(Duration aTime) { m_world.Run(m_world.Now() + aTime); }

  /// Records the usage of one answer and returns its customer.
  std::string Record(const EntryId& aEntry) {
    const std::string customer = "customer-" + std::to_string(++m_records);
    m_recorded.push_back(customer);
    m_world.AtEntry(m_world.Now(), aEntry, [this, aEntry, customer](UsageLedger& aLedger) {
      UsageRecord record{.m_identity = {.m_customer = customer, .m_key = "k"}, .m_costMicros = 7};
      m_world.Apply(aEntry, aLedger.Record(record, m_world.Now()));
    });
    return customer;
  }

  /// How often the only request of each customer is counted in the platform's keys.
  std::map<std::string, std::int64_t> Billed() {
    std::map<std::string, std::int64_t> billed;
    const std::map<std::string, KeyValue>& keys = m_world.Platform().Keys();
    for (const std::pair<const std::string, KeyValue>& key : keys) {
      const nlohmann::json value = nlohmann::json::parse(key.second.m_value);
      Count(value, 1, billed);
      for (const nlohmann::json& folded : value.value("folded", nlohmann::json::array())) {
        // A ledger that was added to the totals but still exists would be counted twice.
        if (keys.contains(folded["ledger"])) {
          Count(folded, -1, billed);
        }
      }
    }
    return billed;
  }

  void CheckNeverTwice() {
    for (const std::pair<const std::string, std::int64_t>& bill : Billed()) {
      INFO(bill.first);
      CHECK(bill.second <= 1);
    }
  }

  /// Checks that no record is billed twice, and that each one reported as durable is billed once.
  void CheckOnce() {
    std::map<std::string, std::int64_t> billed = Billed();
    for (const std::string& customer : m_recorded) {
      INFO(customer);
      CHECK(m_reports[customer] <= 1);
      CHECK(billed[customer] <= 1);
      if (m_durable[customer]) {
        CHECK(billed[customer] == 1);
      }
    }
  }

  SimulatedCluster<UsageLedger, UsageOutcome>& World() { return m_world; }
  bool IsDurable(const std::string& aCustomer) { return m_durable[aCustomer]; }
  int Reports(const std::string& aCustomer) { return m_reports[aCustomer]; }

private:
  static void Count(const nlohmann::json& aValue, std::int64_t aFactor,
                    std::map<std::string, std::int64_t>& aBilled) {
    for (const nlohmann::json& customer : aValue["customers"]) {
      const std::int64_t requests = customer["requests"];
      CHECK(customer["micros"] == requests * 7);
      aBilled[customer["customer"]] += aFactor * requests;
    }
  }

  SimulatedCluster<UsageLedger, UsageOutcome> m_world;
  Random m_seeds;
  int m_entries = 0;
  int m_records = 0;
  std::vector<std::string> m_recorded;
  std::map<std::string, bool> m_durable;
  std::map<std::string, int> m_reports;
};

void RecordRequests(UsageWorld& aUsage, int aRounds) {
  for (int i = 0; i < aRounds; ++i) {
    const std::vector<EntryId> entries = aUsage.World().Entries();
    aUsage.Record(entries[aUsage.World().Dice().Below(entries.size())]);
    aUsage.RunFor(Milliseconds(static_cast<std::int64_t>(aUsage.World().Dice().Below(60))));
  }
}

/// Crashes and pauses one entry at a time, and waits until its records are settled before the next
/// fault.
void RunSingleFaults(std::uint64_t aSeed) {
  INFO("seed " << aSeed);
  UsageWorld usage(aSeed, {.m_loss = 0.02,
                           .m_doubling = 0.05,
                           .m_slow = 0.02,
                           .m_lostReply = 0.15,
                           .m_silentReply = 0.1});
  usage.Start(5);
  SimulatedCluster<UsageLedger, UsageOutcome>& world = usage.World();
  for (int fault = 0; fault < 4; ++fault) {
    RecordRequests(usage, 40);
    const std::vector<EntryId> entries = world.Entries();
    const EntryId& entry = entries[world.Dice().Below(entries.size())];
    if (world.Dice().Chance(0.6)) {
      world.Crash(entry);
      usage.Add(static_cast<int>(world.Dice().Below(3)));
    } else {
      world.Pause(entry, Milliseconds(static_cast<std::int64_t>(world.Dice().Below(6000))));
    }
    RecordRequests(usage, 40);
    usage.RunFor(Seconds(12));
  }
  usage.CheckOnce();
  usage.RunFor(Seconds(60));
  usage.CheckOnce();
}

/// Injects overlapping faults at any time. Records may be lost if two entries fail, but must never
/// be counted twice.
void RunManyFaults(std::uint64_t aSeed) {
  INFO("seed " << aSeed);
  UsageWorld usage(
    aSeed,
    {.m_loss = 0.05, .m_doubling = 0.05, .m_slow = 0.1, .m_lostReply = 0.2, .m_silentReply = 0.2});
  usage.Start(5);
  SimulatedCluster<UsageLedger, UsageOutcome>& world = usage.World();
  for (int fault = 0; fault < 12; ++fault) {
    RecordRequests(usage, 20);
    const std::vector<EntryId> entries = world.Entries();
    const EntryId& entry = entries[world.Dice().Below(entries.size())];
    const std::uint64_t kind = world.Dice().Below(4);
    if (kind == 0) {
      world.Crash(entry);
      usage.Add(static_cast<int>(world.Dice().Below(3)));
    } else if (kind == 1) {
      world.Pause(entry, Milliseconds(static_cast<std::int64_t>(world.Dice().Below(40000))));
    } else if (kind == 2) {
      world.Partition({entry});
    } else {
      world.SetOutage(world.Dice().Chance(0.5));
      world.Partition({});
    }
  }
  world.SetOutage(false);
  world.Partition({});
  usage.RunFor(Seconds(90));
  usage.CheckNeverTwice();
}

} // namespace

TEST_CASE("a record is held by a peer before it is reported as durable, and settled once") {
  UsageWorld usage(1);
  usage.Start(3);
  const EntryId entry = usage.World().Entries()[0];
  const std::string customer = usage.Record(entry);
  usage.RunFor(Milliseconds(20));
  CHECK(usage.IsDurable(customer));
  CHECK(usage.Billed().empty());
  usage.RunFor(Seconds(3));
  CHECK(usage.Billed().at(customer) == 1);
  CHECK(usage.World().Of(entry).CountUnsettled() == 0);
  for (const EntryId& each : usage.World().Entries()) {
    CHECK(usage.World().Of(each).CountCopiesHeld() == 0);
  }
}

TEST_CASE("a holder of copies settles the records of a crashed origin") {
  UsageWorld usage(2);
  usage.Start(3);
  usage.World().SetOutage(true);
  const EntryId entry = usage.World().Entries()[0];
  const std::string customer = usage.Record(entry);
  usage.RunFor(Milliseconds(100));
  CHECK(usage.IsDurable(customer));
  usage.World().Crash(entry);
  usage.RunFor(Seconds(5));
  usage.World().SetOutage(false);
  usage.RunFor(Seconds(5));
  CHECK(usage.Billed()[customer] == 1);
}

TEST_CASE(
  "without a peer a record is settled directly, without the platform too it is local only") {
  UsageWorld usage(3);
  const EntryId entry = usage.Add(0);
  usage.RunFor(Seconds(1));
  usage.Record(entry);
  usage.RunFor(Milliseconds(300));
  // The next regular settlement is due only after this record must be durable.
  const std::string direct = usage.Record(entry);
  usage.RunFor(Milliseconds(480));
  CHECK(usage.IsDurable(direct));
  CHECK(usage.Billed().at(direct) == 1);
  usage.World().SetOutage(true);
  const std::string alone = usage.Record(entry);
  usage.RunFor(Seconds(1));
  CHECK(usage.Reports(alone) == 1);
  CHECK_FALSE(usage.IsDurable(alone));
  usage.World().SetOutage(false);
  usage.RunFor(Seconds(5));
  CHECK(usage.Billed().at(alone) == 1);
}

TEST_CASE("a copy that a paused peer does not acknowledge is sent to another peer") {
  UsageWorld usage(6);
  usage.Start(3);
  const std::vector<EntryId> entries = usage.World().Entries();
  usage.World().SetOutage(true);
  // Whichever peer is tried first, it is paused in one of the two cases.
  for (const std::size_t asleep : {1U, 2U}) {
    usage.World().Pause(entries[asleep], Milliseconds(600));
    const std::string customer = usage.Record(entries[0]);
    usage.RunFor(Milliseconds(400));
    CHECK(usage.IsDurable(customer));
    usage.RunFor(Seconds(2));
  }
}

TEST_CASE("an entry that resumes after a pause does not settle again what others settled for it") {
  UsageWorld usage(4);
  usage.Start(3);
  const EntryId entry = usage.World().Entries()[0];
  const std::string customer = usage.Record(entry);
  usage.RunFor(Milliseconds(20));
  usage.World().Pause(entry, Seconds(8));
  usage.RunFor(Seconds(6));
  CHECK(usage.Billed().at(customer) == 1);
  usage.RunFor(Seconds(10));
  CHECK(usage.Billed().at(customer) == 1);
}

TEST_CASE("ledgers of dead entries are added to the totals and removed") {
  UsageWorld usage(5, {.m_lostReply = 0.3, .m_silentReply = 0.2});
  usage.Start(4);
  RecordRequests(usage, 60);
  usage.RunFor(Seconds(5));
  const EntryId entry = usage.World().Entries()[1];
  usage.World().Crash(entry);
  usage.RunFor(Seconds(10));
  const std::map<std::string, std::int64_t> before = usage.Billed();
  CHECK(before.size() == 60);
  CHECK(usage.World().Platform().Keys().contains(kLedgerPrefix + entry));
  for (int i = 0; i < 120; ++i) {
    usage.RunFor(Seconds(1));
    CHECK(usage.Billed() == before);
  }
  CHECK_FALSE(usage.World().Platform().Keys().contains(kLedgerPrefix + entry));
}

TEST_CASE("460 busy entries settle with fewer than 20 writes per second in total") {
  constexpr int kMembers = 460;
  constexpr std::int64_t kSeconds = 600;
  std::vector<MemberDigest> members;
  for (int i = 0; i < kMembers; ++i) {
    members.push_back({.m_entry = "entry-" + std::to_string(i) + "#1", .m_dataCentre = "dc-1"});
  }
  UsageLedger ledger({}, "entry-0#1", "dc-0", 1);
  FakePlatform platform;
  Time now = Time(Seconds(1000));
  ledger.OnMembers(members, now);
  for (std::int64_t tenth = 0; tenth < kSeconds * 10; ++tenth) {
    now += Milliseconds(100);
    ledger.Record({.m_identity = {.m_customer = "mopane", .m_key = "k"}}, now);
    const UsageCopyAck copied{.m_origin = "entry-0#1",
                              .m_sequences = {static_cast<std::uint64_t>(tenth) + 1}};
    ledger.OnMessage("entry-1#1", copied, now);
    for (const Effect& effect : ledger.Tick(now).m_effects) {
      if (const CallPlatform* call = std::get_if<CallPlatform>(&effect)) {
        ledger.OnPlatformReply(platform.Handle(call->m_call, call->m_request), now);
      }
    }
  }
  const double all = static_cast<double>(platform.Writes()) * kMembers / kSeconds;
  MESSAGE("writes per second: " << all);
  CHECK(all < 20.0);
  CHECK(all > 10.0);
}

TEST_CASE("adjacent and overlapping ranges of numbers are merged") {
  SequenceRanges ranges;
  ranges.Add(1);
  ranges.Add(3);
  ranges.AddRange(6, 9);
  CHECK(ranges.ContiguousUpTo() == 1);
  CHECK(ranges.Ranges().size() == 3);
  ranges.Add(2);
  CHECK(ranges.ContiguousUpTo() == 3);
  ranges.AddRange(2, 7);
  CHECK(ranges.Ranges() == std::map<std::uint64_t, std::uint64_t>{{1, 9}});
  CHECK(ranges.Contains(9));
  CHECK_FALSE(ranges.Contains(10));
}

TEST_CASE("each durable record is billed exactly once: many seeds, one fault at a time") {
  const char* const single = std::getenv("FENNELLINE_SEED");
  const std::uint64_t first = single == nullptr ? 1 : std::strtoull(single, nullptr, 10);
  const std::uint64_t last = single == nullptr ? 60 : first;
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    RunSingleFaults(seed);
  }
}

TEST_CASE("overlapping faults never bill a record twice, whatever the seed") {
  const char* const single = std::getenv("FENNELLINE_SEED");
  const std::uint64_t first = single == nullptr ? 1 : std::strtoull(single, nullptr, 10);
  const std::uint64_t last = single == nullptr ? 60 : first;
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    RunManyFaults(seed);
  }
}
