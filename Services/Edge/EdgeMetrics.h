#pragma once

#include "LibBase/Time.h"
#include "LibRouting/NumberedEvent.h"
#include "LibRouting/OverloadControl.h"
#include "LibRouting/RetryPolicy.h"
#include "LibRouting/ServerLiveness.h"

#include <array>
#include <memory>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>
#include <string_view>

namespace fennelline {

/// Outcome of a request as seen by its caller.
enum class RequestEnd : std::uint8_t {
  Answered,
  /// A backend server's error response was forwarded.
  ServerFailure,
  /// Answered with an error that says that the request was not executed.
  Refused,
  /// Answered with an error; the request may have been executed.
  Failed,
  /// The response was aborted before its end.
  Cut,
  /// The caller disconnected before the response was complete.
  CallerLeft,
  /// The request is malformed or the configuration does not allow it.
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

/// Outcome of a call to another entry, or the store, for a large value.
enum class LargeValueOutcome : std::uint8_t {
  Received,
  /// The entry is sending to others.
  Busy,
  /// The entry does not hold the value.
  Missing,
  Failed,
};

constexpr NameTable<LargeValueOutcome, 4> kLargeValueOutcomeNames = {{
  {LargeValueOutcome::Received, "received"},
  {LargeValueOutcome::Busy, "busy"},
  {LargeValueOutcome::Missing, "missing"},
  {LargeValueOutcome::Failed, "failed"},
}};

/// Prometheus metrics of one entry. Label values come from fixed tables, which bounds the number of
/// time series.
class EdgeMetrics {
public:
  EdgeMetrics();

  void OnRequestEnded(RouteKind aKind, RequestEnd aEnd);
  void OnAttemptEnded(AttemptOutcome aOutcome);
  /// aTime: from the arrival of the request to the first byte of its response.
  void OnFirstByte(RouteKind aKind, Duration aTime);
  void OnAnswered(RouteKind aKind, Duration aTime);
  void OnStoreCall(bool aSucceeded);
  /// An update of the mirror was received and applied.
  void OnMirrorUpdate(std::size_t aBytes, Duration aTransferTime);
  /// The transfer of an update was abandoned after this many bytes.
  void OnMirrorUpdateAbandoned(std::size_t aBytes);
  /// An update was sent to another entry. aIsWhole: one of an earlier release, which gets large
  /// values in it.
  void OnMirrorUpdateSent(bool aIsWhole);
  void OnLargeValueCall(LargeValueOutcome aOutcome);
  /// The store came back from an older copy of itself.
  void OnStoreReturned();
  /// A turn of the event loop took this long, without its wait.
  void OnLoopTurn(Duration aTime);
  /// The event loop ran no callback for this time, although a timer was due.
  void OnLoopHeld(Duration aTime);
  /// A server was checked after its connections broke, or after one ended a stream.
  void OnServerCheck(ServerLiveness aResult);
  /// A server sent bytes that are not the next event of a stream.
  void OnOddEvent(EventFault aFault);
  /// A request was not sent, or not sent again, because its content crashes servers.
  void OnContentRefused();
  /// A request was passed on to another entry.
  void OnPassedOn();
  /// Overload control has held or refused a request.
  void OnAdmission(Admission aAdmission);
  void OnEscalationWithheld();
  /// aWaiting: requests that overload control holds, by urgency.
  void SetSurge(SurgeState aState, const std::array<std::size_t, kUrgencyLevels>& aWaiting);
  void SetLostPaths(std::size_t aCount);
  void SetRefusedContents(std::size_t aCount);
  /// A permit for a request to a server that limits requests was asked for.
  void OnPermit(bool aIsGranted);
  /// A request was turned away from a cold server, for want of a permit.
  void OnTurnedFromCold();
  void SetColdServers(std::size_t aCount);
  void SetLimitedServers(std::size_t aCount);
  /// Servers that take clearly longer than the usual one.
  void SetSlowServers(std::size_t aCount);
  /// Servers that have said that they leave, and that asked this entry to be left alone now.
  void SetServerWishes(std::size_t aLeaving, std::size_t aLeftAlone);
  /// Evacuated data centres, and requests of this entry that still run there.
  void SetEvacuation(std::size_t aZones, int aRunning);
  void SetGauges(std::size_t aCallerChannels, std::size_t aServerChannels, std::size_t aMembers,
                 std::int64_t aConfigurationVersion, Duration aStoreStateAge);
  /// Returns the metrics in the Prometheus text format.
  std::string Text() const;

private:
  static constexpr std::size_t kKinds = kRouteKindNames.size();
  static constexpr std::size_t kEnds = kRequestEndNames.size();
  static constexpr std::size_t kOutcomes = kAttemptOutcomeNames.size();
  static constexpr std::size_t kServerLivenessCount = kServerLivenessNames.size();

  std::shared_ptr<prometheus::Registry> m_registry = std::make_shared<prometheus::Registry>();
  std::array<std::array<prometheus::Counter*, kEnds>, kKinds> m_requests{};
  std::array<prometheus::Counter*, kOutcomes> m_attempts{};
  std::array<prometheus::Histogram*, kKinds> m_firstByte{};
  std::array<prometheus::Histogram*, kKinds> m_answered{};
  std::array<prometheus::Counter*, 2> m_storeCalls{};
  prometheus::Histogram* m_mirrorTransfer = nullptr;
  /// Bytes of abandoned updates and of applied ones.
  std::array<prometheus::Counter*, 2> m_mirrorBytes{};
  /// Updates sent without and with large values.
  std::array<prometheus::Counter*, 2> m_mirrorUpdatesSent{};
  std::array<prometheus::Counter*, kLargeValueOutcomeNames.size()> m_largeValueCalls{};
  prometheus::Counter* m_storeReturns = nullptr;
  prometheus::Histogram* m_loopTurn = nullptr;
  prometheus::Counter* m_loopHeld = nullptr;
  std::array<prometheus::Counter*, kServerLivenessCount> m_serverChecks{};
  std::array<prometheus::Counter*, kEventFaultNames.size()> m_oddEvents{};
  prometheus::Counter* m_contentRefusals = nullptr;
  prometheus::Counter* m_passedOn = nullptr;
  std::array<prometheus::Counter*, kAdmissionNames.size()> m_admissions{};
  prometheus::Counter* m_escalationsWithheld = nullptr;
  prometheus::Gauge* m_surgeState = nullptr;
  std::array<prometheus::Gauge*, kUrgencyLevels> m_waiting{};
  prometheus::Gauge* m_lostPaths = nullptr;
  prometheus::Gauge* m_refusedContents = nullptr;
  std::array<prometheus::Counter*, 2> m_permits{};
  prometheus::Counter* m_turnedFromCold = nullptr;
  prometheus::Gauge* m_coldServers = nullptr;
  prometheus::Gauge* m_limitedServers = nullptr;
  prometheus::Gauge* m_slowServers = nullptr;
  prometheus::Gauge* m_leavingServers = nullptr;
  prometheus::Gauge* m_leftAloneServers = nullptr;
  prometheus::Gauge* m_evacuatedZones = nullptr;
  prometheus::Gauge* m_requestsInEvacuatedZones = nullptr;
  prometheus::Gauge* m_callerChannels = nullptr;
  prometheus::Gauge* m_serverChannels = nullptr;
  prometheus::Gauge* m_members = nullptr;
  prometheus::Gauge* m_configurationVersion = nullptr;
  prometheus::Gauge* m_storeStateAge = nullptr;
};

} // namespace fennelline
