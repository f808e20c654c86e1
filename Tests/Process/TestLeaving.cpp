#include "Tests/Process/TestCluster.h"

#include <atomic>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace fennelline;

namespace {

/// New work has to stop within this after the first entry has learned of the leaving.
constexpr Duration kStopBound = Seconds(3);
constexpr Duration kWatched = Seconds(2);

/// Calls an entry all the time until it is told to end.
void KeepCalling(TestCluster& aCluster, const ClusterMember& aEntry, std::atomic<bool>& aEnd) {
  for (int number = 0; !aEnd; ++number) {
    aCluster.Call(aEntry, Chat(aEntry.m_name + std::to_string(number), "a note", 2, false));
    aCluster.Call(aEntry, StockCheck(aEntry.m_name + "-s" + std::to_string(number)));
  }
}

} // namespace

TEST_CASE("Backend servers that are leaving get nothing new after three seconds") {
  TestCluster cluster({.m_services = 2});
  std::atomic<bool> end = false;
  std::vector<std::future<void>> callers;
  for (const ClusterMember& entry : cluster.m_entries) {
    callers.push_back(std::async(std::launch::async, [&] { KeepCalling(cluster, entry, end); }));
  }
  ClusterMember& engine = cluster.m_engines[0];
  ClusterMember& service = cluster.m_services[0];
  const bool busy = WaitUntil(Seconds(20), [&] {
    return cluster.Runs(engine).size() > 5 && cluster.Runs(service).size() > 5;
  });
  CHECK(busy);
  engine.m_leaving = true;
  service.m_leaving = true;
  cluster.PublishVms();
  const std::chrono::steady_clock::time_point told = std::chrono::steady_clock::now();
  WaitUntil(kStopBound, [&] { return std::chrono::steady_clock::now() - told >= kStopBound; });
  const std::size_t engineRuns = cluster.Runs(engine).size();
  const std::size_t serviceRuns = cluster.Runs(service).size();
  const std::size_t otherRuns = cluster.Runs(cluster.m_engines[1]).size();
  // The load goes on and reaches the other backend servers while these are watched.
  const bool reached = WaitUntil(Seconds(20), [&] {
    return std::chrono::steady_clock::now() - told >= kStopBound + kWatched &&
           cluster.Runs(cluster.m_engines[1]).size() > otherRuns + 20;
  });
  CHECK(reached);
  CHECK(cluster.Runs(engine).size() == engineRuns);
  CHECK(cluster.Runs(service).size() == serviceRuns);
  end = true;
  for (std::future<void>& caller : callers) {
    caller.get();
  }
}
