#include "LibCoordination/Observation/EvidenceCounter.h"

#include <doctest/doctest.h>

using namespace fennelline;

TEST_CASE("a session counts once and becomes bad with its first bad answer") {
  EvidenceCounter counter(1.0);
  counter.OnRating("v@1", "chat", "session", true, Time{});
  counter.OnRating("v@1", "chat", "session", false, Time{});
  counter.OnRating("v@1", "chat", "session", false, Time{});
  counter.OnRating("v@1", "chat", "other", true, Time{});
  const std::vector<VersionEvidence> rows = counter.Evidence();
  REQUIRE(rows.size() == 1);
  CHECK(rows[0].m_rated == 4);
  CHECK(rows[0].m_ratedBad == 2);
  CHECK(rows[0].m_sessions == 2);
  CHECK(rows[0].m_badSessions == 1);
}

TEST_CASE(
  "failures outside the clusters chosen for rating do not change the share of bad clusters") {
  // All answers are good except that one in a hundred fails, and one cluster in ten is rated. If
  // failures of unrated clusters counted, the share of bad clusters would appear to be one in ten.
  EvidenceCounter counter(0.1);
  for (int request = 0; request < 20000; ++request) {
    const std::string cluster = "request-" + std::to_string(request);
    const bool failed = request % 100 == 0;
    counter.OnAnswer("v@1", "tag", cluster, {.m_error = failed}, Time{});
    if (!failed && counter.ChosenForRating(cluster)) {
      counter.OnRating("v@1", "tag", cluster, true, Time{});
    }
  }
  const VersionEvidence row = counter.Evidence().front();
  CHECK(row.m_requests == 20000);
  CHECK(row.m_errors == 200);
  CHECK(row.m_sessions == doctest::Approx(2000).epsilon(0.1));
  const double bad = static_cast<double>(row.m_badSessions) / static_cast<double>(row.m_sessions);
  CHECK(bad == doctest::Approx(0.01).epsilon(0.6));
}

TEST_CASE("counters are monotonic and the number of remembered clusters is bounded") {
  EvidenceCounter counter(1.0);
  std::int64_t sessions = 0;
  for (int request = 0; request < 50000; ++request) {
    counter.OnRating("v@1", "tag", std::to_string(request), true, Time{});
    if (request % 10000 == 0) {
      const std::int64_t now = counter.Evidence().front().m_sessions;
      CHECK(now > sessions);
      sessions = now;
    }
  }
  CHECK(counter.RememberedClusters() <= 20000);
}
