#include "LibRouting/RequestLimit.h"
#include "Tests/LibRouting/SimulatedFleet.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <functional>
#include <utility>
#include <vector>

using namespace fennelline;

namespace {

constexpr Time kStart = SimulatedFleet<SimulatedEntry>::kStart;
/// The platform's rule: in any window of this length, half as much again as the limit allows and
/// five more.
constexpr Duration kWindow = Seconds(4);

/// Entries that send requests to servers with limits. Messages take time and may be lost.
class Simulation : public SimulatedFleet<SimulatedEntry> {
public:
  Simulation(std::size_t aEntries, std::vector<double> aLimits, double aDemand, std::uint64_t aSeed)
    : SimulatedFleet(aSeed)
    , m_limits(std::move(aLimits))
    , m_demand(aDemand)
    , m_arrivals(m_limits.size())
    , m_served(kUrgencyLevels)
    , m_sent(kUrgencyLevels) {
    for (std::size_t index = 0; index < aEntries; ++index) {
      Start();
    }
    LearnAllMembers();
  }

  std::size_t Start() {
    AddEntry();
    return m_alive.back();
  }
  void Run(Duration aTime) {
    const Time end = m_now + aTime;
    while (m_now < end) {
      const Duration gap = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(m_random.Exponential(1.0 / m_demand)));
      RunEvents(std::min(end, m_now + gap));
      Request();
    }
  }

  const std::vector<Time>& Arrivals(std::size_t aServer) const { return m_arrivals[aServer]; }
  double Used() const {
    double served = 0.0;
    for (const double count : m_served) {
      served += count;
    }
    return served;
  }
  double ServedShare(int aUrgency) const {
    return m_served[static_cast<std::size_t>(aUrgency)] /
           m_sent[static_cast<std::size_t>(aUrgency)];
  }

private:
  /// Up to 5 ms between two entries.
  void Deliver(std::size_t aFrom, std::size_t aTo, std::function<void()> aAction) {
    SimulatedFleet::Deliver(aFrom, aTo, 5, std::move(aAction));
  }
  void Request() {
    const std::size_t entry = m_alive[m_random.Below(m_alive.size())];
    const int urgency = static_cast<int>(m_random.Below(kUrgencyLevels));
    m_sent[static_cast<std::size_t>(urgency)] += 1.0;
    Try(entry, urgency, m_random.Below(m_limits.size()), m_limits.size());
  }
  void Try(std::size_t aEntry, int aUrgency, std::size_t aServer, std::size_t aLeft) {
    if (aLeft == 0 || m_entries[aEntry]->m_members.empty()) {
      return;
    }
    const std::size_t issuer = IssuerOf(aEntry, aServer);
    const auto onAnswer = [this, aEntry, aUrgency, aServer, aLeft](bool aIsGranted) {
      if (aIsGranted) {
        m_arrivals[aServer].push_back(m_now);
        m_served[static_cast<std::size_t>(aUrgency)] += 1.0;
      } else {
        Try(aEntry, aUrgency, (aServer + 1) % m_limits.size(), aLeft - 1);
      }
    };
    if (issuer == aEntry) {
      onAnswer(Take(issuer, aServer, aUrgency));
      return;
    }
    Deliver(aEntry, issuer, [this, aEntry, aServer, aUrgency, issuer, onAnswer] {
      const bool isIssuer =
        !m_entries[issuer]->m_members.empty() && IssuerOf(issuer, aServer) == issuer;
      const bool isGranted = isIssuer && Take(issuer, aServer, aUrgency);
      Deliver(issuer, aEntry, [onAnswer, isGranted] { onAnswer(isGranted); });
    });
  }
  bool Take(std::size_t aIssuer, std::size_t aServer, int aUrgency) {
    SimulatedEntry& entry = *m_entries[aIssuer];
    return entry.m_issuer.Take(aServer, m_limits[aServer], entry.m_share.At(m_now), aUrgency, m_now)
      .m_isGranted;
  }

  std::vector<double> m_limits;
  double m_demand;
  std::vector<std::vector<Time>> m_arrivals;
  std::vector<double> m_served;
  std::vector<double> m_sent;
};

const std::vector<double> kLimits = {0.0, 0.3, 1.0, 1.9, 4.0, 30.0};

void CheckLimits(const Simulation& aFleet) {
  for (std::size_t server = 0; server < kLimits.size(); ++server) {
    CHECK(MostInWindow(aFleet.Arrivals(server), kWindow) <=
          1.5 * kLimits[server] * InSeconds(kWindow) + 5.0);
  }
}

double TotalLimit() {
  double total = 0.0;
  for (const double limit : kLimits) {
    total += limit;
  }
  return total;
}

} // namespace

TEST_CASE("entries together keep to each server's limit, use it, and serve urgent requests first") {
  for (const std::size_t entries : {1, 3, 9, 66, 460}) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      CAPTURE(entries);
      CAPTURE(seed);
      Simulation fleet(entries, kLimits, TotalLimit() * 3.0, seed);
      fleet.Run(Seconds(30));
      CheckLimits(fleet);
      CHECK(fleet.Used() >= 0.8 * TotalLimit() * 30.0);
      CHECK(fleet.ServedShare(0) >= fleet.ServedShare(1));
      CHECK(fleet.ServedShare(1) >= fleet.ServedShare(2));
    }
  }
}

TEST_CASE("limits are kept and used while issuers die and start") {
  for (const std::size_t entries : {3, 9, 66}) {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
      CAPTURE(entries);
      CAPTURE(seed);
      Simulation fleet(entries, kLimits, TotalLimit() * 3.0, seed);
      for (std::size_t victim = 0; victim + 1 < std::min<std::size_t>(entries, 6); ++victim) {
        fleet.Run(Seconds(3));
        fleet.Kill(victim);
        fleet.Run(Seconds(2));
        fleet.Start();
        fleet.Announce();
      }
      fleet.Run(Seconds(10));
      CheckLimits(fleet);
    }
  }
}

TEST_CASE(
  "limits are kept while the fleet is split in two for less than it remembers lost entries") {
  for (const std::size_t side : {1, 4}) {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
      CAPTURE(side);
      CAPTURE(seed);
      Simulation fleet(9, kLimits, TotalLimit() * 3.0, seed);
      fleet.Run(Seconds(5));
      fleet.Split(side);
      fleet.Run(Seconds(9));
      CheckLimits(fleet);
    }
  }
}

TEST_CASE("refused requests are told later times the more of them there are") {
  PermitBucket bucket;
  CHECK(bucket.Take(2.0, 1.0, 0, kStart).m_isGranted);
  const PermitDecision first = bucket.Take(2.0, 1.0, 0, kStart);
  CHECK(!first.m_isGranted);
  CHECK(first.m_nextPermit == Milliseconds(500));
  CHECK(first.m_likelyWait == Milliseconds(500));
  const PermitDecision second = bucket.Take(2.0, 1.0, 0, kStart);
  CHECK(second.m_nextPermit == Milliseconds(500));
  CHECK(second.m_likelyWait == Milliseconds(1000));
  CHECK(bucket.Take(2.0, 1.0, 2, kStart).m_nextPermit > Milliseconds(500));
  CHECK(bucket.Take(2.0, 1.0, 0, kStart + Milliseconds(501)).m_isGranted);
}

TEST_CASE("a limit holds until an answer to a later request names none") {
  RequestLimit limit;
  CHECK(!limit.OnAnswer(std::nullopt, kStart, kStart + Milliseconds(10)));
  CHECK(limit.OnAnswer(2.0, kStart, kStart + Milliseconds(100)));
  CHECK(!limit.OnAnswer(std::nullopt, kStart + Milliseconds(50), kStart + Milliseconds(200)));
  CHECK(limit.PerSecond() == 2.0);
  CHECK(!limit.Adopt(9.0, kStart + Milliseconds(90)));
  CHECK(limit.OnAnswer(std::nullopt, kStart + Milliseconds(101), kStart + Milliseconds(200)));
  CHECK(!limit.PerSecond());
  CHECK(limit.Adopt(3.0, kStart + Milliseconds(150)));
}

TEST_CASE("messages about limits survive the wire, and malformed ones are refused") {
  const PermitQuestion question{.m_number = 7,
                                .m_server = ~0ULL,
                                .m_urgency = 2,
                                .m_perSecond = 1.9,
                                .m_limitAge = Milliseconds(40),
                                .m_replyTo = "10.0.0.1:7340"};
  const Result<PermitQuestion> asked = DecodePermitQuestion(EncodePermitQuestion(question));
  REQUIRE(!asked.IsError());
  CHECK(asked.Get().m_server == ~0ULL);
  CHECK(asked.Get().m_perSecond == 1.9);
  CHECK(asked.Get().m_replyTo == question.m_replyTo);
  CHECK(!asked.Get().m_coldTerms);
  PermitQuestion cold = question;
  cold.m_perSecond = std::nullopt;
  cold.m_coldTerms = PermitTerms{.m_perSecond = 11.4, .m_mostUnused = 1.6};
  const Result<PermitQuestion> askedCold = DecodePermitQuestion(EncodePermitQuestion(cold));
  REQUIRE(!askedCold.IsError());
  CHECK(!askedCold.Get().m_perSecond);
  REQUIRE(askedCold.Get().m_coldTerms);
  CHECK(askedCold.Get().m_coldTerms->m_mostUnused == 1.6);
  const Result<SendReport> report = DecodeSendReport(EncodeSendReport(
    {.m_server = 9, .m_terms = *cold.m_coldTerms, .m_crowdedFrom = 11, .m_replyTo = "a:1"}));
  REQUIRE(!report.IsError());
  CHECK(report.Get().m_crowdedFrom == 11);
  CHECK(report.Get().m_replyTo == "a:1");
  const Result<std::vector<ColdNotice>> coldNotices = DecodeColdNotices(
    EncodeColdNotices({{.m_server = 1, .m_isCold = true, .m_left = Seconds(2)}, {.m_server = 2}}));
  REQUIRE(!coldNotices.IsError());
  CHECK(coldNotices.Get()[0].m_left == Seconds(2));
  CHECK(!coldNotices.Get()[1].m_isCold);
  const Result<PermitAnswer> answer = DecodePermitAnswer(EncodePermitAnswer(
    {.m_number = 7, .m_decision = {.m_isGranted = true, .m_likelyWait = Seconds(2)}}));
  REQUIRE(!answer.IsError());
  CHECK(answer.Get().m_decision.m_isGranted);
  CHECK(answer.Get().m_decision.m_likelyWait == Seconds(2));
  const Result<std::vector<LimitNotice>> notices = DecodeLimitNotices(EncodeLimitNotices(
    {{.m_server = 1, .m_perSecond = 0.0}, {.m_server = 2, .m_age = Milliseconds(5)}}));
  REQUIRE(!notices.IsError());
  CHECK(notices.Get()[0].m_perSecond == 0.0);
  CHECK(!notices.Get()[1].m_perSecond);
  for (const std::string& bytes : {std::string(), std::string("no message"),
                                   EncodeLimitNotices({{.m_server = 1}}).substr(0, 3)}) {
    CHECK(DecodePermitQuestion(bytes).IsError());
    CHECK(DecodePermitAnswer(bytes).IsError());
    CHECK(DecodeLimitNotices(bytes).IsError());
    CHECK(DecodeSendReport(bytes).IsError());
    CHECK(DecodeColdNotices(bytes).IsError());
  }
}
