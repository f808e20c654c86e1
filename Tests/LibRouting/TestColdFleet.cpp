// Entries that send requests to servers that are cold, or turn cold without anybody knowing, in
// simulated time. Messages take time and may be lost.

#include "LibRouting/ColdServers.h"
#include "Tests/LibRouting/SimulatedFleet.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

using namespace fennelline;

namespace {

const ColdRules kRules{.m_coldTime = Seconds(3),
                       .m_perSecond = 7.6,
                       .m_overage = 1.5,
                       .m_slack = 5.0};
constexpr double kRate = 7.6 * 1.5;
constexpr double kBound = kRate + 5.0;
constexpr Duration kWindow = Seconds(1);
/// Of the Edge service, see ServerPermits.
constexpr Duration kCrowdedTime = Seconds(1);
constexpr Duration kCrowdNoticeInterval = Milliseconds(250);
constexpr std::size_t kMaxAdvisedAsks = 2;
constexpr Duration kUnansweredAfter = Milliseconds(60);

struct Load {
  std::size_t m_entries = 1;
  std::size_t m_servers = 40;
  /// Requests per second of the whole fleet.
  double m_demand = 160.0;
  /// Part of the requests that every entry sends to server 0 first: a hot prefix, or a server that
  /// looks empty.
  double m_hotPart = 0.0;
  /// Part of the requests that come to the first entry.
  double m_firstPart = 0.0;
  /// Requests that arrive within a millisecond at one entry.
  std::size_t m_batch = 1;
  std::uint64_t m_seed = 1;
};

struct ColdFleetEntry : SimulatedEntry {
  PermitIssuer m_own;
  std::vector<Time> m_coldUntil;
  std::vector<Time> m_crowdedUntil;
  std::map<std::size_t, Time> m_told;
  std::map<std::size_t, Time> m_nextPermit;
};

class Fleet : public SimulatedFleet<ColdFleetEntry> {
public:
  explicit Fleet(const Load& aLoad)
    : SimulatedFleet(aLoad.m_seed)
    , m_load(aLoad)
    , m_arrivals(aLoad.m_servers) {
    for (std::size_t index = 0; index < aLoad.m_entries; ++index) {
      Start();
    }
    LearnAllMembers();
  }

  std::size_t Start() {
    ColdFleetEntry& entry = AddEntry();
    entry.m_coldUntil.resize(m_load.m_servers);
    entry.m_crowdedUntil.resize(m_load.m_servers);
    return m_alive.back();
  }
  /// All entries learn within 100 ms that the first aServers are cold.
  void TellCold(std::size_t aServers, Duration aTime) {
    for (const std::size_t entry : m_alive) {
      After(Spread(0, 100), [this, entry, aServers, until = m_now + aTime] {
        for (std::size_t server = 0; server < aServers; ++server) {
          m_entries[entry]->m_coldUntil[server] = until;
        }
      });
    }
  }
  void Run(Duration aTime) {
    const Time end = m_now + aTime;
    const double rate = m_load.m_demand / static_cast<double>(m_load.m_batch);
    while (m_now < end) {
      RunEvents(
        std::min(end, m_now + std::chrono::duration_cast<Duration>(
                                std::chrono::duration<double>(m_random.Exponential(1.0 / rate)))));
      const std::size_t entry =
        m_random.Chance(m_load.m_firstPart) ? m_alive[0] : m_alive[m_random.Below(m_alive.size())];
      for (std::size_t index = 0; index < m_load.m_batch; ++index) {
        const bool isHot = m_random.Chance(m_load.m_hotPart);
        Try({.m_entry = entry, .m_server = isHot ? 0 : m_random.Below(m_load.m_servers)});
      }
    }
  }

  std::size_t AnyEntry() const { return m_alive.back(); }
  const std::vector<Time>& Arrivals(std::size_t aServer) const { return m_arrivals[aServer]; }
  double Most() const {
    double most = 0.0;
    for (const std::vector<Time>& arrivals : m_arrivals) {
      most = std::max(most, MostInWindow(arrivals, kWindow));
    }
    return most;
  }
  /// Messages other than reports, per request.
  double OtherMessages() const {
    return static_cast<double>(m_otherMessages) / static_cast<double>(m_requests);
  }
  double AskedPart() const {
    return static_cast<double>(m_asked) / static_cast<double>(m_requests);
  }
  std::size_t Refused() const { return m_refused; }

private:
  struct Request {
    std::size_t m_entry = 0;
    std::size_t m_server = 0;
    std::size_t m_tried = 0;
    std::size_t m_asks = 0;
    bool m_ignoresCrowding = false;
  };

  /// Up to 8 ms between two entries.
  bool Deliver(std::size_t aFrom, std::size_t aTo, std::function<void()> aAction) {
    return SimulatedFleet::Deliver(aFrom, aTo, 8, std::move(aAction));
  }
  void Arrive(std::size_t aServer) { m_arrivals[aServer].push_back(m_now); }

  void Try(Request aRequest) {
    m_requests += aRequest.m_tried == 0 ? 1 : 0;
    ColdFleetEntry& entry = *m_entries[aRequest.m_entry];
    if (entry.m_members.empty()) {
      return;
    }
    if (aRequest.m_tried >= m_load.m_servers) {
      if (aRequest.m_ignoresCrowding || m_now < entry.m_coldUntil[aRequest.m_server]) {
        ++m_refused;
        return;
      }
      aRequest.m_ignoresCrowding = true;
    }
    const bool isCold = m_now < entry.m_coldUntil[aRequest.m_server];
    const bool ignores = aRequest.m_ignoresCrowding || aRequest.m_asks >= kMaxAdvisedAsks;
    const bool isCrowded = m_now < entry.m_crowdedUntil[aRequest.m_server];
    if (!isCold && (!isCrowded || ignores)) {
      SendFreely(aRequest.m_entry, aRequest.m_server);
    } else if (m_now < entry.m_nextPermit[aRequest.m_server]) {
      TryNext(aRequest);
    } else {
      Ask(aRequest, isCold);
    }
  }
  /// Another server, as placement chooses it: any one.
  void TryNext(Request aRequest) {
    ++aRequest.m_tried;
    aRequest.m_server = m_random.Below(m_load.m_servers);
    Try(aRequest);
  }
  void Ask(Request aRequest, bool aIsCold) {
    m_asked += aRequest.m_asks == 0 ? 1 : 0;
    ++aRequest.m_asks;
    const std::size_t issuer = IssuerOf(aRequest.m_entry, aRequest.m_server);
    if (issuer == aRequest.m_entry) {
      OnDecision(aRequest, Take(issuer, aRequest.m_server));
      return;
    }
    m_otherMessages += 2;
    const auto isAnswered = std::make_shared<bool>(false);
    After(kUnansweredAfter, [this, aRequest, aIsCold, isAnswered] {
      if (!std::exchange(*isAnswered, true)) {
        if (aIsCold) {
          TryNext(aRequest);
        } else {
          SendFreely(aRequest.m_entry, aRequest.m_server);
        }
      }
    });
    Deliver(aRequest.m_entry, issuer, [this, aRequest, issuer, isAnswered] {
      const bool isIssuer =
        !m_entries[issuer]->m_members.empty() && IssuerOf(issuer, aRequest.m_server) == issuer;
      const PermitDecision decision = isIssuer ? Take(issuer, aRequest.m_server)
                                               : PermitDecision{.m_nextPermit = Milliseconds(200)};
      Deliver(issuer, aRequest.m_entry, [this, aRequest, decision, isAnswered] {
        if (!std::exchange(*isAnswered, true)) {
          OnDecision(aRequest, decision);
        }
      });
    });
  }
  void OnDecision(const Request& aRequest, const PermitDecision& aDecision) {
    if (!aDecision.m_isGranted) {
      ColdFleetEntry& entry = *m_entries[aRequest.m_entry];
      entry.m_nextPermit[aRequest.m_server] = m_now + aDecision.m_nextPermit;
      if (m_now < entry.m_crowdedUntil[aRequest.m_server]) {
        entry.m_crowdedUntil[aRequest.m_server] = m_now + kCrowdedTime;
      }
      TryNext(aRequest);
    } else if (m_random.Chance(0.1)) {
      // The entry is held up, or the connection has to be opened first.
      After(Spread(0, 40), [this, server = aRequest.m_server] { Arrive(server); });
    } else {
      Arrive(aRequest.m_server);
    }
  }
  PermitDecision Take(std::size_t aIssuer, std::size_t aServer) {
    ColdFleetEntry& entry = *m_entries[aIssuer];
    return entry.m_issuer.Take(aServer, kRules.Terms(), entry.m_share.At(m_now), 1, m_now);
  }
  void SendFreely(std::size_t aEntry, std::size_t aServer) {
    Arrive(aServer);
    ColdFleetEntry& entry = *m_entries[aEntry];
    const std::size_t issuer = IssuerOf(aEntry, aServer);
    if (issuer != aEntry &&
        entry.m_own.Count(aServer, kRules.Terms(), 1.0, m_now) >= kRules.CrowdedFromOne()) {
      entry.m_crowdedUntil[aServer] = m_now + kCrowdedTime;
    }
    if (issuer == aEntry) {
      CountSent(issuer, aServer, aEntry);
    } else {
      Deliver(aEntry, issuer,
              [this, issuer, aServer, aEntry] { CountSent(issuer, aServer, aEntry); });
    }
  }
  void CountSent(std::size_t aIssuer, std::size_t aServer, std::size_t aSender) {
    ColdFleetEntry& issuer = *m_entries[aIssuer];
    const std::size_t sent =
      issuer.m_issuer.Count(aServer, kRules.Terms(), issuer.m_share.At(m_now), m_now);
    if (sent >= kRules.CrowdedFrom()) {
      issuer.m_crowdedUntil[aServer] = m_now + kCrowdedTime;
      const bool isDue = m_now - issuer.m_told[aServer] >= kCrowdNoticeInterval;
      if (isDue) {
        issuer.m_told[aServer] = m_now;
        for (const std::size_t member : issuer.m_members) {
          Tell(aIssuer, member, aServer);
        }
      }
      Tell(aIssuer, aSender, aServer);
    }
  }
  void Tell(std::size_t aIssuer, std::size_t aEntry, std::size_t aServer) {
    if (aEntry != aIssuer) {
      ++m_otherMessages;
      Deliver(aIssuer, aEntry, [this, aEntry, aServer] {
        m_entries[aEntry]->m_crowdedUntil[aServer] = m_now + kCrowdedTime;
      });
    }
  }

  Load m_load;
  std::vector<std::vector<Time>> m_arrivals;
  std::size_t m_requests = 0;
  std::size_t m_asked = 0;
  std::size_t m_otherMessages = 0;
  std::size_t m_refused = 0;
};

} // namespace

TEST_CASE("known cold servers get no more than the bound and use what they may") {
  // Three times the load that the servers may get, at all of them or at one that all prefer.
  for (const std::size_t entries : {1, 3, 9, 86, 460}) {
    for (const std::size_t cold : {1, 40}) {
      for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        CAPTURE(entries);
        CAPTURE(cold);
        CAPTURE(seed);
        Fleet fleet({.m_entries = entries,
                     .m_demand = cold == 1 ? 160.0 : 40 * kRate * 3,
                     .m_hotPart = cold == 1 ? 0.5 : 0.0,
                     .m_firstPart = 0.2,
                     .m_seed = seed});
        fleet.TellCold(cold, Seconds(15));
        fleet.Run(Seconds(15));
        CHECK(fleet.Most() <= kBound);
        CHECK(static_cast<double>(fleet.Arrivals(0).size()) >= 0.8 * kRate * 15.0);
      }
    }
  }
}

TEST_CASE("a server that looks empty to all entries, or holds a hot prefix, gets no burst") {
  // A fifth of the requests goes to one server first; nobody knows whether it is cold.
  for (const std::size_t entries : {1, 3, 9, 86, 460}) {
    for (const double firstPart : {0.0, 0.5}) {
      for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        CAPTURE(entries);
        CAPTURE(seed);
        Fleet fleet(
          {.m_entries = entries, .m_hotPart = 0.2, .m_firstPart = firstPart, .m_seed = seed});
        fleet.Run(Seconds(20));
        CHECK(fleet.Most() <= kBound);
        CHECK(fleet.Refused() == 0);
      }
    }
  }
}

TEST_CASE("a server that turns cold amid a load that prefers it keeps to the bound") {
  // Free sends before, advised permits, and required ones once all know.
  for (const std::size_t entries : {3, 9, 86}) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      CAPTURE(entries);
      CAPTURE(seed);
      Fleet fleet({.m_entries = entries, .m_hotPart = 0.2, .m_seed = seed});
      fleet.Run(Seconds(5));
      fleet.TellCold(1, Seconds(3));
      fleet.Run(Seconds(6));
      CHECK(fleet.Most() <= kBound);
    }
  }
}

TEST_CASE("in even load hardly any permits are asked for, and few messages pass") {
  // Four requests a second to each server, as in a usual second of the deployments.
  for (const std::size_t entries : {1, 3, 9, 86}) {
    CAPTURE(entries);
    Fleet fleet({.m_entries = entries});
    fleet.Run(Seconds(30));
    CHECK(fleet.Most() <= kBound);
    CHECK(fleet.AskedPart() <= 0.03);
    CHECK(fleet.OtherMessages() <= 0.6);
  }
}

TEST_CASE("cold servers keep to the bound while issuers die and entries start") {
  for (const std::size_t entries : {3, 9, 66}) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      CAPTURE(entries);
      CAPTURE(seed);
      Fleet fleet({.m_entries = entries, .m_hotPart = 0.3, .m_seed = seed});
      for (std::size_t round = 0; round < std::min<std::size_t>(entries - 1, 5); ++round) {
        fleet.TellCold(40, Seconds(6));
        fleet.Run(Seconds(3));
        fleet.Kill(fleet.IssuerOf(fleet.AnyEntry(), 0));
        fleet.Run(Seconds(2));
        fleet.Start();
        fleet.Announce();
        fleet.TellCold(40, Seconds(6));
        fleet.Run(Seconds(2));
      }
      CHECK(fleet.Most() <= kBound);
    }
  }
}

TEST_CASE("cold servers get no more while an old and a new issuer both believe that they issue") {
  // Entries start one after another under three times the allowed load of all servers. The others
  // learn of each at times up to 0.7 s apart.
  for (const std::size_t entries : {2, 9}) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      CAPTURE(entries);
      CAPTURE(seed);
      Fleet fleet({.m_entries = entries, .m_demand = 40 * kRate * 3, .m_seed = seed});
      fleet.TellCold(40, Seconds(20));
      for (int round = 0; round < 4; ++round) {
        fleet.Run(Seconds(3));
        fleet.Start();
        fleet.TellCold(40, Seconds(20));
        fleet.Announce();
      }
      fleet.Run(Seconds(3));
      CHECK(fleet.Most() <= kBound);
    }
  }
}

TEST_CASE("cold servers keep to the bound while the fleet is split in two") {
  for (const std::size_t side : {1, 4}) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      CAPTURE(side);
      CAPTURE(seed);
      Fleet fleet({.m_entries = 9, .m_hotPart = 0.3, .m_seed = seed});
      fleet.TellCold(40, Seconds(20));
      fleet.Run(Seconds(5));
      fleet.Split(side);
      fleet.Run(Seconds(9));
      CHECK(fleet.Most() <= kBound);
    }
  }
}
