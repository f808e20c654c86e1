#include "Utilities/Policy/Experiments.h"
#include "Utilities/Policy/RoutingRun.h"

#include <algorithm>

namespace fennelline {

namespace {

constexpr double kLoad = 0.8;
constexpr Duration kLength = Seconds(260);

/// Figures of one run, in seconds.
struct Figures {
  double m_stockCheck999 = 0.0;
  /// Time beyond the deadline, of the stock checks.
  double m_stockCheckLate999 = 0.0;
  double m_stockCheckLateShare = 0.0;
  double m_firstToken95 = 0.0;
  double m_sharedFirstToken95 = 0.0;
};

Figures FiguresOf(const RoutingSettings& aSettings, const RoutingResult& aResult) {
  std::vector<double> stockChecks;
  std::vector<double> lateness;
  std::vector<double> firstTokens;
  std::vector<double> sharedFirstTokens;
  double late = 0.0;
  for (const RequestRecord& record : aResult.m_requests) {
    if (record.m_arrival.m_at < Time{} + aSettings.m_warmUp || record.m_answered == kNever) {
      continue;
    }
    const KindProfile& kind = aSettings.m_mix.m_kinds[record.m_arrival.m_kind];
    const Duration first = record.m_firstToken - record.m_arrival.m_at;
    const Duration whole = record.m_answered - record.m_arrival.m_at;
    firstTokens.push_back(InSeconds(first));
    if (kind.m_prefixTokens > 0) {
      sharedFirstTokens.push_back(InSeconds(first));
    }
    if (kind.m_urgency == Urgency::Counter) {
      stockChecks.push_back(InSeconds(whole));
      lateness.push_back(InSeconds(std::max(Duration(0), whole - kind.m_deadline)));
      late += whole > kind.m_deadline ? 1.0 : 0.0;
    }
  }
  constexpr double kTail = 0.999;
  constexpr double kMost = 0.95;
  return Figures{.m_stockCheck999 = Quantile(stockChecks, kTail),
                 .m_stockCheckLate999 = Quantile(lateness, kTail),
                 .m_stockCheckLateShare = late / static_cast<double>(stockChecks.size()),
                 .m_firstToken95 = Quantile(firstTokens, kMost),
                 .m_sharedFirstToken95 = Quantile(sharedFirstTokens, kMost)};
}

template<ReplicaPolicy Policy>
Figures RunOnce(RoutingSettings aSettings, bool aPriorities, bool aHedges, std::uint64_t aSeed) {
  aSettings.m_sendsPriorities = aPriorities;
  aSettings.m_retriesAndHedges = aHedges;
  RoutingRun<Policy> run(aSettings, aSeed);
  return FiguresOf(aSettings, run.Run());
}

/// One way to route, by name.
struct Contender {
  std::string m_name;
  std::function<Figures(const RoutingSettings&, std::uint64_t)> m_run;
};

template<ReplicaPolicy Policy>
Contender MakeContender(const std::string& aName, bool aPriorities, bool aHedges = false) {
  return {aName, [aPriorities, aHedges](const RoutingSettings& aSettings, std::uint64_t aSeed) {
            return RunOnce<Policy>(aSettings, aPriorities, aHedges, aSeed);
          }};
}

constexpr const char* kOurs = "fennelline";
constexpr const char* kBaseline = "least-outstanding";
constexpr const char* kBaselineWithPriorities = "least-outstanding+priorities";

std::vector<Contender> Contenders() {
  return {MakeContender<ModelAwarePolicy>(kOurs, true, true),
          MakeContender<ModelAwarePolicy>("fennelline-no-hedges", true),
          MakeContender<LeastOutstandingPolicy>(kBaseline, false),
          MakeContender<LeastOutstandingPolicy>(kBaselineWithPriorities, true),
          MakeContender<LeastReportedPolicy>("least-reported", false),
          MakeContender<RandomPolicy>("random", false),
          MakeContender<RoundRobinPolicy>("round-robin", false)};
}

double Ratio(double aLeft, double aRight) {
  constexpr double kSmallestSeconds = 1e-3;
  return aLeft / std::max(kSmallestSeconds, aRight);
}

void AddFigures(Report& aReport, const std::string& aMix, const std::string& aPolicy,
                const Figures& aFigures, const Figures& aBaseline) {
  const auto add = [&](const std::string& aName, double aValue) {
    ValuesOf(aReport, aMix + ": " + aName, aPolicy).push_back(aValue);
  };
  add("stock check p99.9 s", aFigures.m_stockCheck999);
  add("stock check late share", aFigures.m_stockCheckLateShare);
  add("first token p95 s", aFigures.m_firstToken95);
  add("first token p95 s, shared prefixes", aFigures.m_sharedFirstToken95);
  add("stock check p99.9 / baseline", Ratio(aFigures.m_stockCheck999, aBaseline.m_stockCheck999));
  add("stock check p99.9 beyond deadline / baseline",
      Ratio(aFigures.m_stockCheckLate999, aBaseline.m_stockCheckLate999));
  add("first token p95 / baseline, shared prefixes",
      Ratio(aFigures.m_sharedFirstToken95, aBaseline.m_sharedFirstToken95));
}

void RunMix(Report& aReport, const ExperimentOptions& aOptions, const Mix& aMix) {
  RoutingSettings settings{.m_mix = aMix, .m_length = kLength, .m_admits = false};
  settings.m_cancelsAtDeadline = false;
  settings.m_callerTries = 1;
  settings.m_requestsPerSecond = kLoad * CapacityOf(settings);
  const std::vector<Contender> contenders = Contenders();
  std::vector<std::vector<Figures>> figures(aOptions.m_seeds);
  ForEachSeed(aOptions, [&](std::size_t aIndex, std::uint64_t aSeed) {
    for (const Contender& contender : contenders) {
      figures[aIndex].push_back(contender.m_run(settings, aSeed));
    }
  });
  constexpr std::size_t kBaselineIndex = 2;
  constexpr std::size_t kPrioritiesIndex = 3;
  for (const std::vector<Figures>& ofSeed : figures) {
    for (std::size_t index = 0; index < contenders.size(); ++index) {
      AddFigures(aReport, aMix.m_name, contenders[index].m_name, ofSeed[index],
                 ofSeed[kBaselineIndex]);
    }
    ValuesOf(aReport, aMix.m_name + ": stock check p99.9 / baseline with priorities", kOurs)
      .push_back(Ratio(ofSeed[0].m_stockCheck999, ofSeed[kPrioritiesIndex].m_stockCheck999));
    ValuesOf(aReport, aMix.m_name + ": first token p95 / baseline with priorities, shared prefixes",
             kOurs)
      .push_back(
        Ratio(ofSeed[0].m_sharedFirstToken95, ofSeed[kPrioritiesIndex].m_sharedFirstToken95));
  }
  constexpr double kLatenessTarget = 0.5;
  constexpr double kFirstTokenTarget = 0.6;
  SetTarget(aReport, aMix.m_name + ": stock check p99.9 / baseline", kOurs, true, kLatenessTarget);
  SetTarget(aReport, aMix.m_name + ": first token p95 / baseline, shared prefixes", kOurs, true,
            kFirstTokenTarget);
}

} // namespace

double CapacityOf(const RoutingSettings& aSettings) {
  constexpr double kFarTooMany = 300.0;
  constexpr std::uint64_t kSeed = 12345;
  RoutingSettings settings = aSettings;
  settings.m_requestsPerSecond = kFarTooMany;
  settings.m_length = Seconds(60);
  settings.m_admits = false;
  settings.m_cancelsAtDeadline = false;
  settings.m_retriesAndHedges = false;
  settings.m_sendsPriorities = false;
  settings.m_crashInterval = Duration(0);
  RoutingRun<LeastOutstandingPolicy> run(settings, kSeed);
  const RoutingResult result = run.Run();
  double answered = 0.0;
  for (const RequestRecord& record : result.m_requests) {
    const bool counts = record.m_answered >= Time{} + settings.m_warmUp &&
                        record.m_answered < Time{} + settings.m_length;
    answered += counts ? 1.0 : 0.0;
  }
  return answered / InSeconds(settings.m_length - settings.m_warmUp);
}

Report RunReplicas(const ExperimentOptions& aOptions) {
  Report report{
    .m_experiment = "replicas", .m_firstSeed = aOptions.m_firstSeed, .m_seeds = aOptions.m_seeds};
  RunMix(report, aOptions, MopaneMix());
  RunMix(report, aOptions, ConsolasMix());
  return report;
}

} // namespace fennelline
