#include "Utilities/Policy/Experiments.h"

#include "LibDecision/Admission.h"
#include "LibDecision/Estimates.h"
#include "LibDecision/Planner.h"
#include "LibDecision/PrefixHashes.h"
#include "LibDecision/PrefixIndex.h"
#include "LibDecision/ReplicaChoice.h"
#include "Utilities/Policy/AllocationCounter.h"

#include <algorithm>
#include <array>
#include <chrono>

namespace fennelline {

namespace {

struct FleetSize {
  const char* m_name = "";
  std::size_t m_replicas = 0;
  std::size_t m_versions = 0;
  std::int64_t m_entries = 0;
};

constexpr std::array<FleetSize, 3> kSizes = {{
  {"9 replicas, 4 versions, 8 entries", 9, 4, 8},
  {"300 replicas, 12 versions, 60 entries", 300, 12, 60},
  {"2700 replicas, 36 versions, 460 entries", 2700, 36, 460},
}};

constexpr std::size_t kCustomers = 40;
constexpr std::size_t kPrefixTokens = 2000;

/// What an entry knows of a fleet.
struct Fleet {
  FleetSize m_size;
  std::vector<std::string> m_versions;
  std::vector<std::string> m_replicas;
  std::vector<ReplicaView> m_loads;
  std::vector<std::vector<std::size_t>> m_replicasOfVersion;
  std::vector<std::string> m_customers;
  EstimateTable m_estimates;
  PrefixIndex m_prefixes;
  AdmissionController m_admission;
  std::vector<std::uint64_t> m_hashes;
  /// Kept from one decision to the next, so that it allocates once.
  std::vector<VersionCandidate> m_candidates;
};

void AddVersions(Fleet& aFleet, Random& aRandom) {
  constexpr double kLeastQuality = 0.85;
  constexpr double kQualityRange = 0.14;
  constexpr int kAnswers = 50;
  for (std::size_t version = 0; version < aFleet.m_size.m_versions; ++version) {
    aFleet.m_versions.push_back("model-" + std::to_string(version) + "@3");
    aFleet.m_replicasOfVersion.emplace_back();
    const double quality = kLeastQuality + kQualityRange * aRandom.Uniform();
    for (int answer = 0; answer < kAnswers; ++answer) {
      aFleet.m_estimates.Observe("brief", aFleet.m_versions.back(),
                                 {.m_firstToken = Milliseconds(50),
                                  .m_total = Milliseconds(900),
                                  .m_inputTokens = 500,
                                  .m_outputTokens = 100},
                                 Time{});
      aFleet.m_estimates.ObserveRating("brief", aFleet.m_versions.back(), aRandom.Chance(quality),
                                       Time{});
    }
  }
}

Fleet MakeFleet(const FleetSize& aSize, Random& aRandom) {
  Fleet fleet{.m_size = aSize};
  AddVersions(fleet, aRandom);
  for (std::size_t hash = 0; hash < kPrefixTokens / kTokensPerPrefixBlock; ++hash) {
    fleet.m_hashes.push_back(aRandom.Next());
  }
  for (std::size_t replica = 0; replica < aSize.m_replicas; ++replica) {
    fleet.m_replicas.push_back("engine-" + std::to_string(replica));
    fleet.m_replicasOfVersion[replica % aSize.m_versions].push_back(replica);
    ReplicaView load;
    load.m_reportedRunning = static_cast<std::int64_t>(aRandom.Below(9));
    load.m_ownOutstanding = static_cast<std::int64_t>(aRandom.Below(2));
    load.m_ownSinceReport = load.m_ownOutstanding;
    load.m_tokensPerSecond = 500.0;
    load.m_slots = 8;
    load.m_reportAge = Milliseconds(200);
    fleet.m_loads.push_back(load);
    if (aRandom.Chance(0.3)) {
      fleet.m_prefixes.OnSent(fleet.m_replicas.back(), fleet.m_hashes);
    }
  }
  for (std::size_t customer = 0; customer < kCustomers; ++customer) {
    fleet.m_customers.push_back("customer-" + std::to_string(customer));
  }
  return fleet;
}

Plan PlanRequest(Fleet& aFleet, bool aMayCascade, Random& aRandom) {
  constexpr double kPrior = 0.9;
  constexpr double kTarget = 0.93;
  std::vector<VersionCandidate>& candidates = aFleet.m_candidates;
  candidates.clear();
  std::int64_t price = 0;
  for (const std::string& version : aFleet.m_versions) {
    price += 100;
    candidates.push_back({.m_version = version,
                          .m_estimate = aFleet.m_estimates.Get("brief", version, kPrior),
                          .m_inputMicrosPer1000Tokens = price,
                          .m_outputMicrosPer1000Tokens = 4 * price});
  }
  const PlanQuery query{.m_qualityTarget = kTarget,
                        .m_timeLeft = Seconds(20),
                        .m_inputTokens = 2300,
                        .m_mostOutputTokens = 400,
                        .m_judgeTime = Milliseconds(200),
                        .m_judgeCostMicros = 20,
                        .m_mayCascade = aMayCascade,
                        .m_exploreShare = 0.02};
  return *MakePlan(query, candidates, aRandom).m_plan;
}

/// Builds views of a bounded sample of the version's replicas and chooses among them.
std::size_t ChooseServer(const Fleet& aFleet, std::size_t aVersion, Random& aRandom) {
  std::array<std::size_t, kMaxReplicasConsidered> sample{};
  std::array<ReplicaView, kMaxReplicasConsidered> views{};
  const std::vector<std::size_t>& replicas = aFleet.m_replicasOfVersion[aVersion];
  const std::size_t count = SampleIndices(replicas.size(), sample, aRandom);
  for (std::size_t position = 0; position < count; ++position) {
    const std::size_t replica = replicas[sample[position]];
    views[position] = aFleet.m_loads[replica];
    views[position].m_cachedPrefixTokens =
      aFleet.m_prefixes.CachedTokens(aFleet.m_replicas[replica], aFleet.m_hashes);
  }
  const ReplicaQuery query{
    .m_inputTokens = 2300, .m_outputTokens = 100, .m_entryCount = aFleet.m_size.m_entries};
  return ChooseReplica(query, std::span(views.data(), count), aRandom)->m_index;
}

bool AdmitRequest(Fleet& aFleet, Time aNow, Random& aRandom) {
  const std::string& customer = aFleet.m_customers[aRandom.Below(kCustomers)];
  const AdmissionQuery query{.m_pool = "pool",
                             .m_customer = customer,
                             .m_timeLeft = Seconds(20),
                             .m_expectedTime = Seconds(1),
                             .m_work = 0.9,
                             .m_poolFree = 0.0,
                             .m_poolSlots = 20.0};
  const bool admitted =
    aFleet.m_admission.Decide(query, aNow).m_verdict == AdmissionVerdict::Admitted;
  if (admitted) {
    aFleet.m_admission.Finished("pool", customer, query.m_work, aNow);
  }
  return admitted;
}

struct Cost {
  double m_microseconds = 0.0;
  double m_plan = 0.0;
  double m_choice = 0.0;
  double m_admission = 0.0;
  double m_allocations = 0.0;
  double m_bytes = 0.0;
};

/// Microseconds that aRun takes on average.
template<typename Run>
double Measure(std::size_t aTimes, const Run& aRun) {
  const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
  for (std::size_t time = 0; time < aTimes; ++time) {
    aRun();
  }
  const std::chrono::duration<double, std::micro> elapsed =
    std::chrono::steady_clock::now() - start;
  return elapsed.count() / static_cast<double>(aTimes);
}

Cost MeasureCost(const FleetSize& aSize, bool aMayCascade, std::uint64_t aSeed) {
  constexpr std::size_t kTimes = 4000;
  Random random(aSeed);
  Fleet fleet = MakeFleet(aSize, random);
  Time now{};
  std::size_t sink = 0;
  const auto plan = [&] { sink += PlanRequest(fleet, aMayCascade, random).m_steps.size(); };
  const auto choose = [&] {
    sink += ChooseServer(fleet, random.Below(fleet.m_versions.size()), random);
  };
  const auto admit = [&] {
    now += Milliseconds(1);
    sink += AdmitRequest(fleet, now, random) ? 1 : 0;
  };
  Cost cost;
  (void)Measure(kTimes, [&] { plan(), choose(), admit(); });
  cost.m_plan = Measure(kTimes, plan);
  cost.m_choice = Measure(kTimes, choose);
  cost.m_admission = Measure(kTimes, admit);
  const AllocationCount before = CountAllocations();
  cost.m_microseconds = Measure(kTimes, [&] { plan(), choose(), admit(); });
  const AllocationCount after = CountAllocations();
  cost.m_allocations = static_cast<double>(after.m_calls - before.m_calls) / kTimes;
  cost.m_bytes = static_cast<double>(after.m_bytes - before.m_bytes) / kTimes;
  // The sum is used, so that no call is left out by the compiler.
  return sink == 0 ? Cost() : cost;
}

} // namespace

Report RunDecisionCost(const ExperimentOptions& aOptions) {
  Report report{.m_experiment = "decision-cost",
                .m_firstSeed = aOptions.m_firstSeed,
                .m_seeds = aOptions.m_seeds};
  for (const bool mayCascade : {false, true}) {
    const std::string policy = mayCascade ? "fennelline, cascades" : "fennelline, single step";
    for (const FleetSize& size : kSizes) {
      // One after the other: runs at the same time would disturb each other's figures.
      for (std::size_t index = 0; index < aOptions.m_seeds; ++index) {
        const Cost cost = MeasureCost(size, mayCascade, aOptions.m_firstSeed + index);
        const auto add = [&](const char* aName, double aValue) {
          ValuesOf(report, std::string(size.m_name) + ": " + aName, policy).push_back(aValue);
        };
        add("decision, us", cost.m_microseconds);
        add("plan, us", cost.m_plan);
        add("replica choice, us", cost.m_choice);
        add("admission, us", cost.m_admission);
        add("allocations", cost.m_allocations);
        add("bytes allocated", cost.m_bytes);
      }
    }
    constexpr double kMostMicroseconds = 20.0;
    SetTarget(report, std::string(kSizes.back().m_name) + ": decision, us", policy, true,
              kMostMicroseconds);
  }
  return report;
}

} // namespace fennelline
