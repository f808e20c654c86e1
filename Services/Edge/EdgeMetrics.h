#pragma once

#include "LibBase/Time.h"
#include "LibRouting/RequestPlan.h"

#include <array>
#include <memory>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>
#include <string_view>

namespace fennelline {

/// How a request ended for its caller.
enum class RequestEnd : std::uint8_t {
  Answered,
  /// A backend server's own failure was passed on.
  ServerFailure,
  /// Answered that it has not run.
  Refused,
  /// Answered that it failed and may have run.
  Failed,
  /// Its answer was broken off.
  Cut,
  /// The caller left first.
  CallerLeft,
  /// Not a request that the configuration allows.
  Rejected,
};

constexpr NameTable<RequestEnd, 7> kRequestEndNames = {{
  {RequestEnd::Answered, "answered"},
  {RequestEnd::ServerFailure, "server-failure"},
  {RequestEnd::Refused, "refused"},
  {RequestEnd::Failed, "failed"},
  {RequestEnd::Cut, "cut"},
  {RequestEnd::CallerLeft, "caller-left"},
  {RequestEnd::Rejected, "rejected"},
}};

/// Counters and histograms of one entry. Labels come from fixed tables, so that their number is
/// bounded.
class EdgeMetrics {
public:
  EdgeMetrics();

  void OnRequestEnded(RouteKind aKind, RequestEnd aEnd);
  void OnAttemptEnded(AttemptOutcome aOutcome);
  /// From the request's arrival to the first byte of its answer.
  void OnFirstByte(RouteKind aKind, Duration aTime);
  void OnAnswered(RouteKind aKind, Duration aTime);
  void OnStoreCall(bool aSucceeded);
  void SetGauges(std::size_t aCallerChannels, std::size_t aServerChannels, std::size_t aMembers,
                 std::int64_t aConfigurationVersion, Duration aStoreStateAge);
  /// The text format that Prometheus reads.
  std::string Text() const;

private:
  static constexpr std::size_t kKinds = kRouteKindNames.size();
  static constexpr std::size_t kEnds = kRequestEndNames.size();
  static constexpr std::size_t kOutcomes = kAttemptOutcomeNames.size();

  std::shared_ptr<prometheus::Registry> m_registry = std::make_shared<prometheus::Registry>();
  std::array<std::array<prometheus::Counter*, kEnds>, kKinds> m_requests{};
  std::array<prometheus::Counter*, kOutcomes> m_attempts{};
  std::array<prometheus::Histogram*, kKinds> m_firstByte{};
  std::array<prometheus::Histogram*, kKinds> m_answered{};
  std::array<prometheus::Counter*, 2> m_storeCalls{};
  prometheus::Gauge* m_callerChannels = nullptr;
  prometheus::Gauge* m_serverChannels = nullptr;
  prometheus::Gauge* m_members = nullptr;
  prometheus::Gauge* m_configurationVersion = nullptr;
  prometheus::Gauge* m_storeStateAge = nullptr;
};

} // namespace fennelline
