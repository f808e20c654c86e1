#include "LibDecision/ReplicaChoice.h"

#include <algorithm>
#include <array>
#include <doctest/doctest.h>
#include <vector>

using namespace fennelline;

namespace {

ReplicaView MakeView(std::int64_t aRunning) {
  return {.m_reportedRunning = aRunning, .m_tokensPerSecond = 500.0, .m_slots = 8};
}

const ReplicaQuery kQuery{.m_inputTokens = 2000, .m_outputTokens = 100, .m_entryCount = 8};

/// Counts how often each server is chosen.
std::vector<int> CountChoices(const ReplicaQuery& aQuery, const std::vector<ReplicaView>& aViews,
                              int aTimes) {
  Random random(3);
  std::vector<int> counts(aViews.size());
  for (int time = 0; time < aTimes; ++time) {
    ++counts[ChooseReplica(aQuery, aViews, random)->m_index];
  }
  return counts;
}

} // namespace

TEST_CASE("an idle server is chosen before a full one, and none where none is eligible") {
  std::vector<ReplicaView> views = {MakeView(8), MakeView(0), MakeView(8)};
  CHECK(CountChoices(kQuery, views, 100)[1] == 100);
  views[1].m_eligible = false;
  CHECK(CountChoices(kQuery, views, 100)[1] == 0);
  views[0].m_eligible = false;
  views[2].m_eligible = false;
  Random random(1);
  CHECK(!ChooseReplica(kQuery, views, random).has_value());
}

TEST_CASE("a cached prefix outweighs some load but not a long queue") {
  std::vector<ReplicaView> views = {MakeView(2), MakeView(4)};
  views[1].m_cachedPrefixTokens = 1900;
  CHECK(CountChoices(kQuery, views, 100)[1] == 100);
  views[1].m_reportedRunning = 8;
  views[1].m_reportedQueued = 40;
  CHECK(CountChoices(kQuery, views, 100)[0] == 100);
}

TEST_CASE("own requests that ended since the report free their slots") {
  ReplicaView view = MakeView(8);
  view.m_reportedQueued = 4;
  CHECK(ExpectedWait(view, kQuery) > Duration(0));
  view.m_ownEndedSinceReport = 6;
  CHECK(ExpectedWait(view, kQuery) == Duration(0));
}

TEST_CASE("entries that choose at the same time from one stale report do not overload one server") {
  constexpr int kEntries = 64;
  constexpr int kRequestsEach = 4;
  // According to the report, the first server has the fewest requests, by two.
  std::vector<int> sent(9);
  for (int entry = 0; entry < kEntries; ++entry) {
    Random random(static_cast<std::uint64_t>(entry) + 1);
    std::vector<ReplicaView> views(sent.size(), MakeView(4));
    views[0].m_reportedRunning = 2;
    for (int request = 0; request < kRequestsEach; ++request) {
      ReplicaQuery query = kQuery;
      query.m_entryCount = kEntries;
      const std::size_t index = ChooseReplica(query, views, random)->m_index;
      ++sent[index];
      ++views[index].m_ownOutstanding;
      ++views[index].m_ownSinceReport;
    }
  }
  // An even spread gives 28 each; always choosing the minimum of the report gives up to 64 at the
  // first.
  CHECK(*std::max_element(sent.begin(), sent.end()) <= 72);
  CHECK(*std::min_element(sent.begin(), sent.end()) >= 12);
}

TEST_CASE("a failing server is a last resort, but not ruled out") {
  std::vector<ReplicaView> views = {MakeView(0), MakeView(6)};
  views[0].m_failureRate = 0.9;
  CHECK(CountChoices(kQuery, views, 100)[1] == 100);
  views[1].m_eligible = false;
  CHECK(CountChoices(kQuery, views, 100)[0] == 100);
}

TEST_CASE("a plain service without a token rate is chosen by its queue") {
  std::vector<ReplicaView> views(2);
  views[0] = {.m_reportedRunning = 4, .m_reportedQueued = 9, .m_slots = 4};
  views[1] = {.m_reportedRunning = 1, .m_slots = 4};
  CHECK(CountChoices({.m_entryCount = 8}, views, 100)[1] == 100);
  CHECK(ExpectedWait(views[0], {.m_serviceTime = Milliseconds(20)}) == Milliseconds(50));
}

TEST_CASE("a bounded sample of many servers is considered, and each server can be chosen") {
  const std::vector<ReplicaView> views(300, MakeView(1));
  const std::vector<int> counts = CountChoices(kQuery, views, 6000);
  CHECK(std::count(counts.begin(), counts.end(), 0) < 5);
  std::array<std::size_t, 32> sample{};
  Random random(5);
  for (int time = 0; time < 200; ++time) {
    REQUIRE(SampleIndices(40, sample, random) == sample.size());
    std::sort(sample.begin(), sample.end());
    REQUIRE(std::adjacent_find(sample.begin(), sample.end()) == sample.end());
    REQUIRE(sample.back() < 40);
  }
  CHECK(SampleIndices(3, sample, random) == 3);
}
