#include "LibRouting/ColdServers.h"
#include "LibRouting/RequestPermits.h"

#include <doctest/doctest.h>

using namespace fennelline;

namespace {

constexpr Time kStart{Seconds(1'000'000)};
const ColdRules kRules{.m_coldTime = Seconds(3),
                       .m_perSecond = 7.6,
                       .m_overage = 1.5,
                       .m_slack = 5.0};

} // namespace

TEST_CASE("permits that are used up to 60 ms late keep to the bound within a second") {
  const PermitTerms terms = kRules.Terms();
  CHECK(terms.m_perSecond == doctest::Approx(11.4));
  CHECK(terms.m_perSecond * 1.06 + terms.m_mostUnused + 1.0 <= 7.6 * 1.5 + 5.0);
  // A rate without room for a burst still issues permits.
  const ColdRules fast{.m_perSecond = 1000.0, .m_overage = 1.5, .m_slack = 0.0};
  CHECK(fast.Terms().m_mostUnused >= 1.0);
}

TEST_CASE("without the configuration or the bound no server is cold") {
  ColdState state;
  state.OnStarted(kStart);
  state.OnRecord(Seconds(3), kStart);
  CHECK(state.IsCold(kRules, kStart));
  CHECK(!state.IsCold({.m_coldTime = Seconds(3), .m_overage = 1.5, .m_slack = 5.0}, kStart));
  CHECK(!state.IsCold({.m_coldTime = Seconds(3), .m_perSecond = 7.6}, kStart));
}

TEST_CASE("a server that starts is cold although its first record does not say so") {
  ColdState state;
  CHECK(!state.IsCold(kRules, kStart));
  state.OnStarted(kStart);
  state.OnRecord(Duration(0), kStart);
  CHECK(state.IsCold(kRules, kStart + Milliseconds(2999)));
  CHECK(!state.IsCold(kRules, kStart + Seconds(3)));
  CHECK(state.Cause() == ColdCause::Start);
}

TEST_CASE("the newest of record, answer, start and return counts") {
  ColdState state;
  state.OnRecord(Milliseconds(500), kStart);
  CHECK(state.Until(kRules) == kStart + Milliseconds(500));
  state.OnAnswer(Milliseconds(2000), kStart, kStart + Milliseconds(100));
  CHECK(state.Until(kRules) == kStart + Milliseconds(2100));
  // This record may have been written before the answer.
  state.OnRecord(Duration(0), kStart + Milliseconds(300));
  CHECK(state.IsCold(kRules, kStart + Milliseconds(400)));
  // This answer may have been written before the other one.
  state.OnAnswer(Duration(0), kStart + Milliseconds(50), kStart + Milliseconds(400));
  CHECK(state.IsCold(kRules, kStart + Milliseconds(400)));
  state.OnAnswer(Duration(0), kStart + Milliseconds(450), kStart + Milliseconds(500));
  CHECK(!state.IsCold(kRules, kStart + Milliseconds(500)));
  state.OnReturned(kStart + Seconds(5));
  CHECK(state.Cause() == ColdCause::Return);
  CHECK(state.Until(kRules) == kStart + Seconds(8));
  state.OnRecord(Seconds(1), kStart + Seconds(6));
  CHECK(state.Until(kRules) == kStart + Seconds(7));
  state.OnRecord(Duration(0), kStart + Milliseconds(6500));
  CHECK(!state.IsCold(kRules, kStart + Milliseconds(6500)));
  CHECK(!state.OnNotice(kStart + Seconds(9), kStart + Seconds(6)));
  CHECK(state.OnNotice(kStart + Seconds(9), kStart + Milliseconds(6600)));
  CHECK(state.IsCold(kRules, kStart + Seconds(8)));
}

TEST_CASE("extreme times in records and answers do not overflow") {
  ColdState state;
  state.OnRecord(Duration::max(), kStart);
  CHECK(state.IsCold(kRules, kStart + Seconds(1'000'000)));
  state.OnAnswer(Duration::max(), kStart, kStart + Seconds(1));
  CHECK(state.IsCold(kRules, kStart + Seconds(1'000'000)));
}

TEST_CASE("a server that names a limit and is cold gets the lower of both") {
  const std::optional<PermitTerms> named = PermitTerms{.m_perSecond = 2.0, .m_mostUnused = 3.0};
  const std::optional<PermitTerms> both = Stricter(named, kRules.Terms());
  REQUIRE(both);
  CHECK(both->m_perSecond == 2.0);
  CHECK(both->m_mostUnused == kRules.Terms().m_mostUnused);
  CHECK(Stricter(std::nullopt, named)->m_perSecond == 2.0);
  CHECK(!Stricter(std::nullopt, std::nullopt));
}

TEST_CASE("sends without a permit use up permits, for a second at most") {
  PermitBucket bucket;
  for (int count = 0; count < 50; ++count) {
    bucket.Count(kRules.Terms(), 1.0, kStart);
  }
  CHECK(!bucket.Take(kRules.Terms(), 1.0, 0, kStart + Milliseconds(500)).m_isGranted);
  CHECK(bucket.Take(kRules.Terms(), 1.0, 2, kStart + Milliseconds(1100)).m_isGranted);
}

TEST_CASE("an entry that became issuer by a change of members lets the old issuer finish") {
  PermitIssuer issuer;
  const PermitTerms terms = kRules.Terms();
  CHECK(issuer.Take(1, terms, 1.0, 0, kStart).m_isGranted);
  issuer.OnMembersChanged(kStart + Milliseconds(100));
  // It has issued the permits of the first server all along.
  CHECK(issuer.Take(1, terms, 1.0, 0, kStart + Milliseconds(300)).m_isGranted);
  CHECK(!issuer.Take(2, terms, 1.0, 0, kStart + Milliseconds(300)).m_isGranted);
  CHECK(!issuer.Take(2, terms, 1.0, 0, kStart + Milliseconds(1000)).m_isGranted);
  CHECK(issuer.Take(2, terms, 1.0, 0, kStart + Milliseconds(1101)).m_isGranted);
  // A limit that a server names is issued as before.
  issuer.OnMembersChanged(kStart + Seconds(5));
  CHECK(issuer.Take(3, 2.0, 1.0, 0, kStart + Seconds(5)).m_isGranted);
}

TEST_CASE("the issuer counts what was sent within the last second, with and without permits") {
  PermitIssuer issuer;
  const PermitTerms terms = kRules.Terms();
  CHECK(issuer.Count(1, terms, 1.0, kStart) == 1);
  CHECK(issuer.Take(1, terms, 1.0, 0, kStart + Milliseconds(300)).m_isGranted);
  CHECK(issuer.Count(1, terms, 1.0, kStart + Milliseconds(900)) == 3);
  CHECK(issuer.Count(1, terms, 1.0, kStart + Milliseconds(1000)) == 3);
  CHECK(issuer.Count(2, terms, 1.0, kStart + Milliseconds(1000)) == 1);
  CHECK(kRules.CrowdedFrom() == 11);
}
