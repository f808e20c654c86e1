#pragma once

#include "LibCoordination/Claims/ClaimTable.h"
#include "Tests/LibCoordination/Fakes/SimulatedCluster.h"

#include <doctest/doctest.h>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace fennelline {

/// Entries with claim tables, callers that retry requests, and a backend server that counts the
/// runs of each request. The checks rely on this count, not on the state of the tables.
class ClaimWorld {
public:
  /// A request sent to one entry, and the outcomes reported for it.
  struct SentRequest {
    EntryId m_entry;
    RequestIdentity m_identity;
    std::string m_body;
    Time m_at;
    Time m_deadline;
    std::vector<ClaimOutcomeReport> m_outcomes;
  };
  struct Run {
    std::string m_body;
    std::string m_answer;
    Time m_at;
  };

  explicit ClaimWorld(std::uint64_t aSeed, FakeFaults aFaults = {},
                      ClaimSettings aSettings = SmallSettings())
    : m_settings(aSettings)
    , m_world(aSeed, aFaults)
    , m_seeds(aSeed) {
    m_world.OnOutcome([this](const EntryId& aEntry, const ClaimOutcomeReport& aReport) {
      OnOutcome(aEntry, aReport);
    });
  }

  /// Short timeouts, since the tests simulate only a few seconds.
  static ClaimSettings SmallSettings() {
    return {.m_shardCount = 3,
            .m_retryWindow = Seconds(20),
            .m_viewValidity = Seconds(10),
            .m_holderRefresh = Seconds(2),
            .m_memberRefresh = Seconds(4),
            .m_minRefreshInterval = Milliseconds(100),
            .m_lossDelay = Milliseconds(1500),
            .m_absentDelay = Milliseconds(800),
            .m_takeoverDelay = Milliseconds(300),
            .m_callTimeout = Milliseconds(500),
            .m_handoverTimeout = Milliseconds(200),
            .m_slotsPerPage = 3};
  }

  EntryId Add(int aDataCentre) {
    const EntryId entry = "entry-" + std::to_string(++m_entries) + "#1";
    const DataCentre dataCentre = "dc-" + std::to_string(aDataCentre);
    m_world.Add(entry, dataCentre, ClaimTable(m_settings, entry, dataCentre, m_seeds.Next()));
    return entry;
  }

  /// Adds entries in three data centres and runs until every shard has its three holders.
  void Start(int aEntries) {
    for (int i = 0; i < aEntries; ++i) {
      Add(i % 3);
    }
    RunFor(Seconds(6));
  }

  void RunFor(Duration aTime) { m_world.Run(m_world.Now() + aTime); }

  /// Sends a request to an entry. Returns the ticket of its claim.
  std::uint64_t Send(const EntryId& aEntry, const std::string& aKey, const std::string& aBody,
                     Duration aDeadline = Seconds(3)) {
    const std::uint64_t ticket = ++m_tickets;
    const RequestIdentity identity = ClaimIdentity(ClaimPurpose::Run, "mopane", aKey);
    m_sentRequests[ticket] = {.m_entry = aEntry,
                              .m_identity = identity,
                              .m_body = aBody,
                              .m_at = m_world.Now(),
                              .m_deadline = m_world.Now() + aDeadline};
    m_world.AtEntry(m_world.Now(), aEntry, [this, ticket](ClaimTable& aTable) {
      const SentRequest& request = m_sentRequests[ticket];
      m_world.Apply(request.m_entry, aTable.Begin(ticket, request.m_identity, request.m_body,
                                                  request.m_deadline, m_world.Now()));
    });
    return ticket;
  }

  /// The only outcome of a request; fails if there is none or more than one.
  ClaimOutcomeReport OutcomeOf(std::uint64_t aTicket) {
    REQUIRE(m_sentRequests[aTicket].m_outcomes.size() == 1);
    return m_sentRequests[aTicket].m_outcomes.front();
  }

  /// The entries that hold the shard of a key, according to the platform.
  std::vector<EntryId> HoldersOf(const std::string& aKey) {
    const RequestIdentity identity = ClaimIdentity(ClaimPurpose::Run, "mopane", aKey);
    const std::string key = ViewKey(ShardOf(identity, m_settings.m_shardCount));
    std::vector<EntryId> holders;
    for (const EntryId& entry : m_world.Entries()) {
      if (m_world.Platform().Keys().at(key).m_value.find('"' + entry + '"') != std::string::npos) {
        holders.push_back(entry);
      }
    }
    return holders;
  }

  /// An entry that does not hold the shard of a key.
  EntryId NonHolderOf(const std::string& aKey) {
    const std::vector<EntryId> holders = HoldersOf(aKey);
    for (const EntryId& entry : m_world.Entries()) {
      if (std::find(holders.begin(), holders.end(), entry) == holders.end()) {
        return entry;
      }
    }
    FAIL("every entry is a holder");
    return {};
  }

  std::size_t RunsOf(const std::string& aKey) const {
    const auto runs = m_runs.find(ClaimIdentity(ClaimPurpose::Run, "mopane", aKey));
    return runs == m_runs.end() ? 0 : runs->second.size();
  }

  /// Checks that each key ran once, and that all outcomes agree with the backend server's runs.
  void CheckAll() {
    for (const std::pair<const RequestIdentity, std::vector<Run>>& runs : m_runs) {
      INFO("key " << runs.first.m_key);
      CHECK(runs.second.size() == 1);
    }
    for (const std::pair<const std::uint64_t, SentRequest>& request : m_sentRequests) {
      CheckRequest(request.first, request.second);
    }
  }

  std::size_t CountOf(ClaimResult aResult) const {
    std::size_t count = 0;
    for (const std::pair<const std::uint64_t, SentRequest>& request : m_sentRequests) {
      const std::vector<ClaimOutcomeReport>& outcomes = request.second.m_outcomes;
      count += !outcomes.empty() && outcomes.front().m_result == aResult ? 1 : 0;
    }
    return count;
  }

  SimulatedCluster<ClaimTable, ClaimOutcomeReport>& World() { return m_world; }
  const std::map<std::uint64_t, SentRequest>& SentRequests() const { return m_sentRequests; }

  ClaimSettings m_settings;
  /// The time from the grant to the send, and from the send to the answer.
  Duration m_sendDelay{0};
  Duration m_runTime = Milliseconds(50);
  /// The probability that the answer of a run never reaches the entry.
  double m_answerLoss = 0.0;

private:
  void OnOutcome(const EntryId& aEntry, const ClaimOutcomeReport& aReport) {
    m_sentRequests[aReport.m_ticket].m_outcomes.push_back(aReport);
    if (aReport.m_result != ClaimResult::Granted) {
      return;
    }
    m_world.AtEntry(
      m_world.Now() + m_sendDelay, aEntry, [this, aEntry, aReport](ClaimTable& aTable) {
        if (aTable.MaySend(aReport.m_identity, aReport.m_attempt, m_world.Now())) {
          RunAtBackend(aEntry, aReport);
        } else {
          m_world.Apply(aEntry,
                        aTable.Abandon(aReport.m_identity, aReport.m_attempt, m_world.Now()));
        }
      });
  }

  void RunAtBackend(const EntryId& aEntry, const ClaimOutcomeReport& aReport) {
    std::vector<Run>& runs = m_runs[aReport.m_identity];
    const std::string answer = "answer " + std::to_string(++m_answers);
    runs.push_back({.m_body = m_sentRequests[aReport.m_ticket].m_body,
                    .m_answer = answer,
                    .m_at = m_world.Now()});
    const bool isLost = m_world.Dice().Chance(m_answerLoss);
    m_world.AtEntry(m_world.Now() + m_runTime, aEntry,
                    [this, aEntry, aReport, answer, isLost](ClaimTable& aTable) {
                      const RequestIdentity& identity = aReport.m_identity;
                      const AttemptId& attempt = aReport.m_attempt;
                      m_world.Apply(aEntry, isLost
                                              ? aTable.MarkUnknown(identity, attempt, m_world.Now())
                                              : aTable.Complete(identity, attempt,
                                                                {.m_status = 200, .m_body = answer},
                                                                m_world.Now()));
                    });
  }

  void CheckRequest(std::uint64_t aTicket, const SentRequest& aRequest) {
    INFO("request " << aTicket << " of " << aRequest.m_identity.m_key << " to "
                    << aRequest.m_entry);
    CHECK(aRequest.m_outcomes.size() <= 1);
    if (aRequest.m_outcomes.empty()) {
      // After the deadline, an outcome may only be missing if the process has ended or is paused.
      const bool isDue = m_world.IsUp(aRequest.m_entry) && !m_world.IsPaused(aRequest.m_entry) &&
                         m_world.Now() > aRequest.m_deadline + Seconds(1);
      CHECK_FALSE(isDue);
      return;
    }
    const ClaimOutcomeReport& outcome = aRequest.m_outcomes.front();
    const std::vector<Run>& runs = m_runs[aRequest.m_identity];
    if (outcome.m_result == ClaimResult::Replay) {
      REQUIRE(!runs.empty());
      CHECK(outcome.m_answer.m_body == runs.front().m_answer);
      CHECK(aRequest.m_body == runs.front().m_body);
    }
    if (outcome.m_result == ClaimResult::Conflict) {
      CHECK(BodiesOf(aRequest.m_identity).size() > 1);
    }
  }

  std::set<std::string> BodiesOf(const RequestIdentity& aIdentity) const {
    std::set<std::string> bodies;
    for (const std::pair<const std::uint64_t, SentRequest>& request : m_sentRequests) {
      if (request.second.m_identity == aIdentity) {
        bodies.insert(request.second.m_body);
      }
    }
    return bodies;
  }

  SimulatedCluster<ClaimTable, ClaimOutcomeReport> m_world;
  Random m_seeds;
  int m_entries = 0;
  std::uint64_t m_tickets = 0;
  std::uint64_t m_answers = 0;
  std::map<std::uint64_t, SentRequest> m_sentRequests;
  std::unordered_map<RequestIdentity, std::vector<Run>, RequestIdentityHash> m_runs;
};

} // namespace fennelline
