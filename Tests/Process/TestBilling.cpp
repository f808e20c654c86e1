#include "Tests/Process/TestCluster.h"

#include <csignal>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace fennelline;
using nlohmann::json;

namespace {

constexpr int kOk = 200;

struct Bill {
  std::int64_t m_requests = 0;
  std::int64_t m_micros = 0;

  friend bool operator==(const Bill&, const Bill&) = default;
};

/// What all ledgers and the totals of ended entries say together.
Bill SettledBill(TestCluster& aCluster) {
  Bill bill;
  const HttpReply reply =
    aCluster.Get(aCluster.m_platform.m_address, "/kv?prefix=fennelline%2Fledger%2F");
  const json listed = json::parse(reply.m_body, nullptr, false);
  if (!listed.is_object() || !listed.contains("keys")) {
    return bill;
  }
  for (const json& key : listed["keys"]) {
    const json ledger = json::parse(key.at("value").get<std::string>());
    for (const json& customer : ledger.at("customers")) {
      bill.m_requests += customer.at("requests").get<std::int64_t>();
      bill.m_micros += customer.at("micros").get<std::int64_t>();
    }
  }
  return bill;
}

/// Adds an answered request to what the callers were told.
void AddAnswer(const HttpReply& aReply, Bill& aBill) {
  REQUIRE_MESSAGE(aReply.m_status == kOk, aReply.m_body);
  ++aBill.m_requests;
  aBill.m_micros += std::stoll(FindHeader(aReply, "Fennelline-Cost-Micros"));
}

/// Sends reservations to all entries in turn, each of them twice under its key.
Bill SendReservations(TestCluster& aCluster, int aCount) {
  Bill told;
  for (int number = 0; number < aCount; ++number) {
    const std::size_t index = static_cast<std::size_t>(number) % aCluster.m_entries.size();
    const std::size_t other = (index + 1) % aCluster.m_entries.size();
    const CallerRequestSpec spec = Reservation("r-" + std::to_string(number));
    AddAnswer(aCluster.Call(aCluster.m_entries[index], spec), told);
    CHECK(aCluster.Call(aCluster.m_entries[other], spec).m_status == kOk);
  }
  return told;
}

constexpr int kReservations = 12;

} // namespace

TEST_CASE("Each request is billed once, also when replies to settlement writes are lost") {
  TestCluster cluster;
  cluster.Control(cluster.m_platform.m_address, {{"lose_replies", 0.5}});
  const Bill told = SendReservations(cluster, kReservations);
  CHECK(WaitUntil(Seconds(60), [&] { return SettledBill(cluster) == told; }));
  cluster.Control(cluster.m_platform.m_address, {{"lose_replies", 0.0}});
  // A graceful stop settles once more what is open, and must add nothing.
  for (ClusterMember& entry : cluster.m_entries) {
    entry.m_process.Signal(SIGTERM);
  }
  for (ClusterMember& entry : cluster.m_entries) {
    CHECK(entry.m_process.WaitForExit(Seconds(60)) == 0);
  }
  const Bill settled = SettledBill(cluster);
  CHECK(settled.m_requests == told.m_requests);
  CHECK(settled.m_micros == told.m_micros);
}

TEST_CASE("Requests that an entry answered before it was killed are billed once") {
  TestCluster cluster;
  const Bill told = SendReservations(cluster, kReservations);
  cluster.m_entries[0].m_process.Signal(SIGKILL);
  CHECK(WaitUntil(Seconds(90), [&] { return SettledBill(cluster) == told; }));
  const Bill settled = SettledBill(cluster);
  CHECK(settled.m_requests == told.m_requests);
  CHECK(settled.m_micros == told.m_micros);
}
