#pragma once

#include "Tests/Entry/FakeCluster.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace fennelline {

/// A caller's request, including all its retries.
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

/// Simulated callers that send requests at random times, and retry them with the same key at a
/// random entry if no successful answer arrives in time.
class CallerFleet {
public:
  CallerFleet(FakeCluster& aCluster, std::uint64_t aSeed)
    : m_cluster(aCluster)
    , m_random(aSeed) {}

  /// Sends requests with exponentially distributed gaps until aEnd.
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

/// The configuration for the fleet's requests: customers "mopane" and "consolas", kinds
/// "check", "reserve" and "tag".
Configuration FleetConfiguration();

constexpr const char* kMopaneKey = "the key of mopane";
constexpr const char* kConsolasKey = "the key of consolas";
constexpr std::int64_t kCheckCost = 20;
constexpr std::int64_t kReserveCost = 100;
constexpr std::int64_t kTagCost = 4;
constexpr Duration kLongestDeadline = Milliseconds(2'000);

} // namespace fennelline
