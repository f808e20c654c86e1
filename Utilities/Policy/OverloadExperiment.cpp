#include "Utilities/Policy/Experiments.h"
#include "Utilities/Policy/RoutingRun.h"

#include <algorithm>
#include <array>

namespace fennelline {

namespace {

constexpr Duration kLength = Seconds(140);
constexpr Duration kCrashInterval = Seconds(120);

/// Figures of one run, per second of its counted part.
struct Goodput {
  double m_answers = 0.0;
  /// Weighted by the tokens of the answers, so that short ones do not stand for long ones.
  double m_tokens = 0.0;
  double m_counterInTime = 0.0;
  double m_extraShare = 0.0;
  double m_triesPerRequest = 0.0;
  double m_lateShare = 0.0;
};

Goodput GoodputOf(const RoutingSettings& aSettings, const RoutingResult& aResult) {
  Goodput goodput;
  double requests = 0.0;
  double counterRequests = 0.0;
  for (const RequestRecord& record : aResult.m_requests) {
    if (record.m_arrival.m_at < Time{} + aSettings.m_warmUp) {
      continue;
    }
    const bool inTime = record.m_end == RequestEnd::InTime;
    const bool isCounter =
      aSettings.m_mix.m_kinds[record.m_arrival.m_kind].m_urgency == Urgency::Counter;
    requests += 1.0;
    counterRequests += isCounter ? 1.0 : 0.0;
    goodput.m_counterInTime += isCounter && inTime ? 1.0 : 0.0;
    goodput.m_answers += inTime ? 1.0 : 0.0;
    goodput.m_tokens += inTime ? static_cast<double>(record.m_arrival.m_outputTokens) : 0.0;
    goodput.m_lateShare +=
      record.m_end == RequestEnd::Late || record.m_end == RequestEnd::Failed ? 1.0 : 0.0;
  }
  const double seconds = InSeconds(aSettings.m_length - aSettings.m_warmUp);
  goodput.m_answers /= seconds;
  goodput.m_tokens /= seconds;
  goodput.m_counterInTime /= std::max(1.0, counterRequests);
  goodput.m_lateShare /= std::max(1.0, requests);
  const auto sent = static_cast<double>(aResult.m_sent);
  goodput.m_extraShare = static_cast<double>(aResult.m_extraAttempts) / std::max(1.0, sent);
  goodput.m_triesPerRequest =
    static_cast<double>(aResult.m_tries) / static_cast<double>(aResult.m_requests.size());
  return goodput;
}

template<ReplicaPolicy Policy>
Goodput RunOnce(const RoutingSettings& aSettings, std::uint64_t aSeed) {
  RoutingRun<Policy> run(aSettings, aSeed);
  return GoodputOf(aSettings, run.Run());
}

constexpr const char* kOurs = "fennelline";
constexpr const char* kBaseline = "least-outstanding, no admission";
constexpr std::array<double, 3> kLoads = {1.0, 1.5, 3.0};
constexpr std::array<const char*, 3> kLoadNames = {"1x", "1.5x", "3x"};

using LoadFigures = std::array<Goodput, kLoads.size()>;

struct SeedFigures {
  LoadFigures m_ours;
  LoadFigures m_baseline;
};

RoutingSettings BaselineOf(RoutingSettings aSettings) {
  aSettings.m_admits = false;
  aSettings.m_sendsPriorities = false;
  aSettings.m_cancelsAtDeadline = false;
  aSettings.m_retriesAndHedges = false;
  return aSettings;
}

void AddFigures(Report& aReport, const std::string& aMix, const std::string& aPolicy,
                const LoadFigures& aFigures) {
  for (std::size_t load = 0; load < kLoads.size(); ++load) {
    const std::string at = std::string(" at ") + kLoadNames[load];
    const Goodput& goodput = aFigures[load];
    const auto add = [&](const std::string& aName, double aValue) {
      ValuesOf(aReport, aMix + ": " + aName + at, aPolicy).push_back(aValue);
    };
    add("answers in time a second", goodput.m_answers);
    add("tokens in time a second", goodput.m_tokens);
    add("stock checks in time, share", goodput.m_counterInTime);
    add("late or failed, share", goodput.m_lateShare);
    add("extra attempts, share", goodput.m_extraShare);
    add("tries of callers per request", goodput.m_triesPerRequest);
    add("goodput over that at 1x, answers", goodput.m_answers / aFigures[0].m_answers);
    add("goodput over that at 1x, tokens", goodput.m_tokens / aFigures[0].m_tokens);
  }
}

void SetTargets(Report& aReport, const std::string& aMix) {
  constexpr double kGoodput = 0.95;
  constexpr double kExtra = 0.10;
  SetTarget(aReport, aMix + ": goodput over that at 1x, answers at 3x", kOurs, false, kGoodput);
  SetTarget(aReport, aMix + ": goodput over that at 1x, tokens at 3x", kOurs, false, kGoodput);
  SetTarget(aReport, aMix + ": goodput over that at 1x, answers at 1.5x", kOurs, false, kGoodput);
  SetTarget(aReport, aMix + ": extra attempts, share at 3x", kOurs, true, kExtra);
}

void RunMix(Report& aReport, const ExperimentOptions& aOptions, const Mix& aMix) {
  RoutingSettings settings{.m_mix = aMix, .m_length = kLength};
  const double capacity = CapacityOf(settings);
  settings.m_crashInterval = kCrashInterval;
  std::vector<SeedFigures> figures(aOptions.m_seeds);
  ForEachSeed(aOptions, [&](std::size_t aIndex, std::uint64_t aSeed) {
    for (std::size_t load = 0; load < kLoads.size(); ++load) {
      RoutingSettings loaded = settings;
      loaded.m_requestsPerSecond = kLoads[load] * capacity;
      figures[aIndex].m_ours[load] = RunOnce<ModelAwarePolicy>(loaded, aSeed);
      figures[aIndex].m_baseline[load] = RunOnce<LeastOutstandingPolicy>(BaselineOf(loaded), aSeed);
    }
  });
  for (const SeedFigures& ofSeed : figures) {
    AddFigures(aReport, aMix.m_name, kOurs, ofSeed.m_ours);
    AddFigures(aReport, aMix.m_name, kBaseline, ofSeed.m_baseline);
  }
  SetTargets(aReport, aMix.m_name);
}

} // namespace

Report RunOverload(const ExperimentOptions& aOptions) {
  Report report{
    .m_experiment = "overload", .m_firstSeed = aOptions.m_firstSeed, .m_seeds = aOptions.m_seeds};
  RunMix(report, aOptions, MopaneMix());
  RunMix(report, aOptions, ConsolasMix());
  return report;
}

} // namespace fennelline
