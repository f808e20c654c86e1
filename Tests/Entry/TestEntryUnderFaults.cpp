#include "Tests/Entry/CallerFleet.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace fennelline;

namespace {

constexpr int kOk = 200;
constexpr std::uint64_t kSeeds = 60;

void SetUp(FakeCluster& aCluster) {
  aCluster.SetConfiguration(FleetConfiguration());
  aCluster.AddEntry("entry-1", "dc-1");
  aCluster.AddEntry("entry-2", "dc-2");
  aCluster.AddEntry("entry-3", "dc-3");
  aCluster.AddEntry("entry-4", "dc-1");
  for (const std::string number : {"1", "2", "3"}) {
    aCluster.AddModel("engine-" + number, "dc-" + number, {"small@1", "small@2"});
    aCluster.AddService("service-" + number, "dc-" + number, "counter");
  }
  aCluster.RunFor(Seconds(8));
}

/// Schedules one fault at a time, each followed by a quiet period in which the cluster can recover.
void ScheduleFaults(FakeCluster& aCluster, Random& aRandom, Time aEnd) {
  constexpr Duration kQuiet = Seconds(10);
  for (Time at = aCluster.Now() + Seconds(2); at + kQuiet < aEnd; at += kQuiet) {
    const std::string entry = "entry-" + std::to_string(1 + aRandom.Below(4));
    const std::uint64_t fault = aRandom.Below(4);
    const Duration length = Milliseconds(200 + static_cast<std::int64_t>(aRandom.Below(6'000)));
    aCluster.At(at, [&aCluster, entry, fault, length]() {
      switch (fault) {
        case 0:
          aCluster.Kill(entry);
          aCluster.At(aCluster.Now() + Seconds(1), [&aCluster, entry]() {
            aCluster.AddEntry(entry, "dc-" + std::to_string(1 + (entry.back() - '1') % 3));
          });
          break;
        case 1:
          aCluster.Pause(entry, length);
          break;
        case 2:
          aCluster.SetOutage(true);
          aCluster.At(aCluster.Now() + length, [&aCluster]() { aCluster.SetOutage(false); });
          break;
        default:
          aCluster.Pause(entry, length);
          aCluster.SetOutage(true);
          aCluster.At(aCluster.Now() + length, [&aCluster]() { aCluster.SetOutage(false); });
          break;
      }
    });
  }
}

using RunTimes = std::map<std::string, std::vector<Time>>;

RunTimes RunsByBody(const FakeCluster& aCluster) {
  RunTimes runs;
  for (const BackendRun& run : aCluster.Runs()) {
    runs[run.m_body].push_back(run.m_at);
  }
  return runs;
}

std::vector<Time> RunsOf(const RunTimes& aRuns, const LogicalRequest& aRequest) {
  const auto found = aRuns.find(aRequest.m_body);
  return found == aRuns.end() ? std::vector<Time>() : found->second;
}

bool SaysNotRun(const CallerAnswer& aAnswer) {
  if (!aAnswer.m_ended || aAnswer.m_status == kOk) {
    return false;
  }
  return nlohmann::json::parse(aAnswer.m_body).at("ran") == "no";
}

void CheckAnswers(const LogicalRequest& aRequest, const std::vector<Time>& aRuns) {
  bool allNotRun = true;
  for (const std::shared_ptr<CallerAnswer>& answer : aRequest.m_answers) {
    CHECK(answer->m_afterEnd == 0);
    if (answer->m_ended && answer->m_status == kOk) {
      CHECK(answer->m_body == "answer to " + aRequest.m_body);
    }
    allNotRun = allNotRun && SaysNotRun(*answer);
    if (SaysNotRun(*answer) && !aRequest.m_idempotent) {
      // "Not run" applies to the key: no attempt with it may have run before the answer.
      CHECK_MESSAGE((aRuns.empty() || aRuns.front() > answer->m_endedAt), aRequest.m_body,
                    " had run: ", answer->m_body);
    }
  }
  if (!aRequest.m_idempotent) {
    CHECK_MESSAGE(aRuns.size() <= 1, aRequest.m_body, " ran ", aRuns.size(), " times");
  }
  if (allNotRun) {
    CHECK_MESSAGE(aRuns.empty(), aRequest.m_body,
                  " ran, although all answers said that it did not");
  }
}

bool WasDelivered(const LogicalRequest& aRequest) {
  return std::any_of(aRequest.m_answers.begin(), aRequest.m_answers.end(),
                     [](const std::shared_ptr<CallerAnswer>& aAnswer) {
                       return aAnswer->m_ended && aAnswer->m_status == kOk;
                     });
}

void CheckBills(FakeCluster& aCluster, const CallerFleet& aFleet, const RunTimes& aRuns) {
  std::map<std::string, std::int64_t> delivered;
  std::map<std::string, std::int64_t> ran;
  for (const std::unique_ptr<LogicalRequest>& request : aFleet.Requests()) {
    delivered[request->m_customer] += WasDelivered(*request) ? request->m_costMicros : 0;
    ran[request->m_customer] += aRuns.contains(request->m_body) ? request->m_costMicros : 0;
  }
  std::map<std::string, Bill> bills = aCluster.Bills();
  for (const std::pair<const std::string, std::int64_t>& item : delivered) {
    const std::string& customer = item.first;
    CHECK_MESSAGE(bills[customer].m_micros >= item.second, customer,
                  ": a delivered answer was not billed");
    CHECK_MESSAGE(bills[customer].m_micros <= ran[customer], customer,
                  ": billed for more than what ran");
  }
}

} // namespace

TEST_CASE("a reservation runs once, is answered completely and is billed once") {
  FakeCluster cluster(1);
  SetUp(cluster);
  CallerFleet fleet(cluster, 2);
  fleet.SendUntil(cluster.Now() + Seconds(5), Milliseconds(50));
  cluster.RunFor(Seconds(60));
  const RunTimes runs = RunsByBody(cluster);
  REQUIRE(fleet.Requests().size() > 50);
  for (const std::unique_ptr<LogicalRequest>& request : fleet.Requests()) {
    CheckAnswers(*request, RunsOf(runs, *request));
    CHECK(WasDelivered(*request));
  }
  CheckBills(cluster, fleet, runs);
}

TEST_CASE("the guarantees to callers hold under kills, pauses, outages and message loss") {
  std::size_t delivered = 0;
  std::size_t requests = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    FakeCluster cluster(seed, {.m_messageLoss = 0.01,
                               .m_messageDuplication = 0.01,
                               .m_lostReply = 0.05,
                               .m_brokenCall = 0.01,
                               .m_notSentCall = 0.01});
    SetUp(cluster);
    Random random(seed * 7919);
    const Time end = cluster.Now() + Seconds(45);
    ScheduleFaults(cluster, random, end);
    CallerFleet fleet(cluster, seed * 104'729);
    fleet.SendUntil(end, Milliseconds(60));
    cluster.RunFor(Seconds(45 + 100));
    const RunTimes runs = RunsByBody(cluster);
    for (const std::unique_ptr<LogicalRequest>& request : fleet.Requests()) {
      CheckAnswers(*request, RunsOf(runs, *request));
      delivered += WasDelivered(*request) ? 1 : 0;
    }
    requests += fleet.Requests().size();
    CheckBills(cluster, fleet, runs);
  }
  // The guarantees would also hold for a system that rejects everything.
  MESSAGE("delivered ", delivered, " of ", requests);
  CHECK(static_cast<double>(delivered) > 0.9 * static_cast<double>(requests));
}
