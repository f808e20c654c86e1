#pragma once

#include "Tests/Entry/FakeCluster.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace fennelline {

/// One thing that a caller wants, however often it is sent.
struct LogicalRequest {
  std::string m_customer;
  std::string m_key;
  std::string m_body;
  bool m_idempotent = true;
  std::int64_t m_costMicros = 0;
  CallerRequest m_request;
  std::vector<std::shared_ptr<CallerAnswer>> m_answers;
  int m_sendsLeft = 3;
};

/// Callers that send requests at random, and send them again, under the same key and to another
/// entry, when no answer comes or a problem says that it may not have run.
class CallerFleet {
public:
  CallerFleet(FakeCluster& aCluster, std::uint64_t aSeed)
    : m_cluster(aCluster)
    , m_random(aSeed) {}

  /// Sends requests with exponential gaps until the time.
  void SendUntil(Time aEnd, Duration aMeanGap);
  const std::vector<std::unique_ptr<LogicalRequest>>& Requests() const { return m_requests; }

private:
  void SendNew();
  void Send(LogicalRequest& aRequest);
  void Check(LogicalRequest& aRequest, const std::shared_ptr<CallerAnswer>& aAnswer);

  FakeCluster& m_cluster;
  Random m_random;
  std::vector<std::unique_ptr<LogicalRequest>> m_requests;
};

/// The contract that the fleet's requests are made for: customers "mopane" and "consolas", kinds
/// "check", "reserve" and "tag".
Configuration FleetConfiguration();

constexpr const char* kMopaneKey = "the key of mopane";
constexpr const char* kConsolasKey = "the key of consolas";
constexpr std::int64_t kCheckCost = 20;
constexpr std::int64_t kReserveCost = 100;
constexpr std::int64_t kTagCost = 4;
constexpr Duration kLongestDeadline = Milliseconds(2'000);

} // namespace fennelline
