#include "Utilities/Policy/Experiments.h"
#include "Utilities/Policy/RoutingRun.h"

#include <algorithm>
#include <array>

namespace fennelline {

namespace {

constexpr Duration kLength = Seconds(140);

/// The load of all customers while everyone keeps to its share.
constexpr double kUsualLoad = 0.7;

/// What the large account sends, as a multiple of its share.
constexpr double kFlood = 10.0;

constexpr std::size_t kFloodingCustomer = 0;
constexpr std::size_t kFirstSmallCustomer = 2;

/// The share of small accounts' requests that were answered in time.
double SmallInTime(const RoutingSettings& aSettings, const RoutingResult& aResult) {
  double requests = 0.0;
  double inTime = 0.0;
  for (const RequestRecord& record : aResult.m_requests) {
    const bool counts = record.m_arrival.m_customer >= kFirstSmallCustomer &&
                        record.m_arrival.m_at >= Time{} + aSettings.m_warmUp;
    requests += counts ? 1.0 : 0.0;
    inTime += counts && record.m_end == RequestEnd::InTime ? 1.0 : 0.0;
  }
  return inTime / std::max(1.0, requests);
}

struct Figures {
  double m_alone = 0.0;
  double m_flooded = 0.0;
  double m_floodedBaseline = 0.0;
};

/// The same mix while one large account sends kFlood times its usual traffic.
RoutingSettings Flooded(RoutingSettings aSettings) {
  std::vector<CustomerProfile>& customers = aSettings.m_mix.m_customers;
  const double extra = customers[kFloodingCustomer].m_traffic * (kFlood - 1.0);
  customers[kFloodingCustomer].m_traffic += extra;
  aSettings.m_requestsPerSecond *= 1.0 + extra;
  return aSettings;
}

RoutingSettings WithoutAdmission(RoutingSettings aSettings) {
  aSettings.m_admits = false;
  aSettings.m_sendsPriorities = false;
  aSettings.m_cancelsAtDeadline = false;
  aSettings.m_retriesAndHedges = false;
  return aSettings;
}

void RunMix(Report& aReport, const ExperimentOptions& aOptions, const Mix& aMix) {
  RoutingSettings settings{.m_mix = aMix, .m_length = kLength};
  settings.m_requestsPerSecond = kUsualLoad * CapacityOf(settings);
  std::vector<Figures> figures(aOptions.m_seeds);
  ForEachSeed(aOptions, [&](std::size_t aIndex, std::uint64_t aSeed) {
    RoutingRun<ModelAwarePolicy> alone(settings, aSeed);
    figures[aIndex].m_alone = SmallInTime(settings, alone.Run());
    const RoutingSettings flooded = Flooded(settings);
    RoutingRun<ModelAwarePolicy> ours(flooded, aSeed);
    figures[aIndex].m_flooded = SmallInTime(flooded, ours.Run());
    RoutingRun<LeastOutstandingPolicy> baseline(WithoutAdmission(flooded), aSeed);
    figures[aIndex].m_floodedBaseline = SmallInTime(flooded, baseline.Run());
  });
  const std::string usual = aMix.m_name + ": small accounts in time, everyone within its share";
  const std::string flood = aMix.m_name + ": small accounts in time, a large one sends 10 times";
  for (const Figures& ofSeed : figures) {
    ValuesOf(aReport, usual, "fennelline").push_back(ofSeed.m_alone);
    ValuesOf(aReport, flood, "fennelline").push_back(ofSeed.m_flooded);
    ValuesOf(aReport, flood, "least-outstanding, no admission").push_back(ofSeed.m_floodedBaseline);
  }
  constexpr double kTarget = 0.99;
  SetTarget(aReport, flood, "fennelline", false, kTarget);
}

} // namespace

Report RunFairness(const ExperimentOptions& aOptions) {
  Report report{
    .m_experiment = "fairness", .m_firstSeed = aOptions.m_firstSeed, .m_seeds = aOptions.m_seeds};
  RunMix(report, aOptions, MopaneMix());
  RunMix(report, aOptions, ConsolasMix());
  return report;
}

} // namespace fennelline
