#include "Utilities/Policy/Experiments.h"
#include "Utilities/Policy/RoutingRun.h"

#include <doctest/doctest.h>

using namespace fennelline;

namespace {

double InTimeShare(const RoutingSettings& aSettings, const RoutingResult& aResult,
                   const std::function<bool(const Arrival&)>& aCounts) {
  double requests = 0.0;
  double inTime = 0.0;
  for (const RequestRecord& record : aResult.m_requests) {
    if (record.m_arrival.m_at >= Time{} + aSettings.m_warmUp && aCounts(record.m_arrival)) {
      requests += 1.0;
      inTime += record.m_end == RequestEnd::InTime ? 1.0 : 0.0;
    }
  }
  return inTime / requests;
}

} // namespace

TEST_CASE("a simulation gives the same results for the same seed") {
  const RoutingSettings settings{
    .m_mix = MopaneMix(), .m_requestsPerSecond = 40.0, .m_length = Seconds(30)};
  RoutingRun<ModelAwarePolicy> first(settings, 5);
  RoutingRun<ModelAwarePolicy> second(settings, 5);
  const RoutingResult left = first.Run();
  const RoutingResult right = second.Run();
  REQUIRE(left.m_requests.size() == right.m_requests.size());
  CHECK(left.m_requests.back().m_answered == right.m_requests.back().m_answered);
  CHECK(left.m_sent == right.m_sent);
}

TEST_CASE("every request ends at three times capacity with crashes") {
  RoutingSettings settings{
    .m_mix = ConsolasMix(), .m_requestsPerSecond = 180.0, .m_length = Seconds(40)};
  settings.m_crashInterval = Seconds(20);
  RoutingRun<ModelAwarePolicy> run(settings, 6);
  const RoutingResult result = run.Run();
  for (const RequestRecord& record : result.m_requests) {
    REQUIRE(record.m_end != RequestEnd::Open);
  }
  CHECK(static_cast<double>(result.m_extraAttempts) <= 0.1 * static_cast<double>(result.m_sent));
}

TEST_CASE("at three times capacity stock checks are still answered in time") {
  RoutingSettings settings{.m_mix = MopaneMix(), .m_length = Seconds(60)};
  settings.m_requestsPerSecond = 3.0 * CapacityOf(settings);
  RoutingRun<ModelAwarePolicy> run(settings, 7);
  const RoutingResult result = run.Run();
  const double share = InTimeShare(settings, result, [&settings](const Arrival& aArrival) {
    return settings.m_mix.m_kinds[aArrival.m_kind].m_urgency == Urgency::Counter;
  });
  CHECK(share >= 0.97);
}

TEST_CASE("a small account is answered in time while a large one sends ten times its share") {
  RoutingSettings settings{.m_mix = MopaneMix(), .m_length = Seconds(60)};
  settings.m_requestsPerSecond = 0.7 * CapacityOf(settings);
  constexpr double kExtra = 0.3 * 9.0;
  settings.m_mix.m_customers[0].m_traffic += kExtra;
  settings.m_requestsPerSecond *= 1.0 + kExtra;
  RoutingRun<ModelAwarePolicy> run(settings, 8);
  const RoutingResult result = run.Run();
  const double share =
    InTimeShare(settings, result, [](const Arrival& aArrival) { return aArrival.m_customer >= 2; });
  CHECK(share >= 0.99);
}
