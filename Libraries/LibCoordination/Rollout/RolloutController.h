#pragma once

#include "LibBase/Time.h"
#include "LibContract/Configuration.h"
#include "LibCoordination/Configuration/ApplyOperation.h"
#include "LibCoordination/Effect.h"
#include "LibCoordination/Lease/LeaseManager.h"
#include "LibCoordination/Rollout/EnginePlan.h"
#include "LibCoordination/Rollout/EvidencePool.h"
#include "LibDecision/ChangeDetector.h"
#include "LibDecision/SequentialTest.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace fennelline {

/// How rollouts are controlled.
struct RolloutSettings {
  LeaseSettings m_lease;
  /// How long the platform holds one watch of the configuration open.
  Duration m_watchWait = Seconds(5);
  Duration m_callTimeout = Seconds(8);
  Duration m_retryWait = Seconds(1);
  /// Interval at which engines are polled, and entries for their evidence.
  Duration m_pollInterval = Seconds(2);
  Duration m_evidenceInterval = Seconds(1);
  /// Limits for the weight store: concurrent loads, and the minimum time between the starts of two
  /// loads.
  std::size_t m_maxLoads = 2;
  Duration m_loadSpacing = Milliseconds(500);
  /// An order without an answer for this long counts as lost; it may still take effect.
  Duration m_orderTimeout = Seconds(130);
  /// How long an engine's reports are ignored after an order, because reports lag.
  Duration m_settleTime = Seconds(3);
  /// How long a new holder sends no order to an engine that does not check fences: orders of the
  /// previous holder may still be in flight.
  Duration m_handoverWait = Seconds(12);
  /// Engines that refuse an order with a stale fence; all do if m_allEnginesCheck is set.
  std::set<BackendServerId> m_enginesThatCheck;
  bool m_allEnginesCheck = false;
  /// Minimum time at each step of a rollout.
  Duration m_minStepTime = Seconds(10);
  SequentialTestPlan m_test;
  ChangeDetectorPlan m_detector;
};

enum class EngineOrderKind : std::uint8_t { Load, Unload };

/// Orders an engine to load or unload a version. The answer is passed to OnOrderAnswered().
struct SendEngineOrder {
  std::uint64_t m_number = 0;
  BackendServerId m_engine;
  std::string m_address;
  EngineOrderKind m_order = EngineOrderKind::Load;
  std::string m_version;
  Revision m_fence = 0;
};

/// Reads the versions that an engine has loaded. The answer is passed to OnEnginePolled().
struct PollEngine {
  BackendServerId m_engine;
  std::string m_address;
};

/// Reads an entry's evidence from its admin address. The answer is passed to OnEvidence().
struct PollEvidence {
  std::string m_adminAddress;
};

using RolloutEffect =
  std::variant<CallPlatform, RecordTimeline, SendEngineOrder, PollEngine, PollEvidence>;
using RolloutEffects = std::vector<RolloutEffect>;

enum class OrderAnswer : std::uint8_t {
  Done,
  /// The engine knows a higher fence: another process holds the lease now.
  StaleFence,
  /// Refused for another reason; the engine did nothing.
  Refused,
  /// No answer: the order may have been carried out, or may still be.
  Lost,
};

/// An engine in the platform's VM list.
struct EngineVm {
  BackendServerId m_engine;
  std::string m_address;
};

/// Controls rollouts as described by the configuration document: sends orders to engines under a
/// lease, aggregates the evidence of the entries, and advances or rolls back by a sequential test.
/// The document is the only persistent state, so another holder can continue from it alone. One
/// controller runs on each entry VM; only the holder of the lease acts.
///
/// The caller calls Tick() at least every 100 ms, carries out the effects and passes in the
/// answers. No order depends on the lease still being valid when it is sent: the order carries the
/// fence, and the state of the engines is read back as long as the lease is held (see
/// docs/design/rollouts.md).
class RolloutController {
public:
  RolloutController(RolloutSettings aSettings, std::uint64_t aSeed);

  RolloutEffects Tick(Time aNow);
  RolloutEffects OnPlatformReply(const PlatformReply& aReply, Time aNow);
  void OnEngines(const std::vector<EngineVm>& aEngines);
  /// Sets the admin addresses of the live entries.
  void OnEntries(std::vector<std::string> aAdminAddresses);
  /// aAsked is when the poll was sent.
  void OnEnginePolled(const BackendServerId& aEngine, std::set<std::string> aVersions, Time aAsked);
  RolloutEffects OnOrderAnswered(std::uint64_t aNumber, OrderAnswer aAnswer,
                                 const std::set<std::string>& aVersions, Time aNow);
  void OnEvidence(const EntryId& aEntry, const std::vector<VersionEvidence>& aEvidence, Time aNow);
  /// Gives up the lease at a graceful stop.
  RolloutEffects Release(Time aNow);

  bool IsHolder(Time aNow) const { return !m_superseded && m_lease.IsHeld(aNow); }
  std::optional<Revision> Fence() const { return m_lease.Fence(); }
  const std::string& Holder() const { return m_lease.Holder(); }
  const std::optional<Configuration>& CurrentConfiguration() const { return m_configuration; }
  std::vector<EngineLoad> Engines() const;
  ClusterCount Evidence(const std::string& aVersion) const { return m_pool.Total(aVersion); }
  std::size_t OpenOrders() const { return m_orders.size(); }

private:
  struct Engine {
    std::string m_address;
    /// Empty until the engine has been read once.
    std::optional<std::set<std::string>> m_versions;
    /// Reports from before this time are ignored.
    Time m_ignoreReportsBefore{};
  };
  struct Order {
    BackendServerId m_engine;
    EngineOrderKind m_order = EngineOrderKind::Load;
    Time m_sentAt{};
  };
  struct Trial {
    std::string m_version;
    SequentialTest m_test;
    ChangeDetector m_detector;
    std::size_t m_step = 0;
    Time m_stepSince{};
  };

  // RolloutController.cpp
  void Append(RolloutEffects& aEffects, Step<LeaseOutcome> aStep, Time aNow);
  void Append(RolloutEffects& aEffects, Step<ApplyOutcome> aStep, Time aNow);
  void OnLeaseAcquired(Time aNow);
  void WatchConfiguration(RolloutEffects& aEffects, Time aNow);
  void OnConfigurationReply(RolloutEffects& aEffects, const PlatformReply& aReply, Time aNow);
  void TakeConfiguration(RolloutEffects& aEffects, const KeyValue& aKey, Time aNow);
  void UpdateTrial(const Rollout& aRollout, Time aNow);
  void Decide(RolloutEffects& aEffects, Time aNow);
  std::optional<Configuration> Decision(const Rollout& aRollout, Time aNow) const;
  void Apply(RolloutEffects& aEffects, const Configuration& aEdited, Time aNow);

  // RolloutEngines.cpp
  void PollIfDue(RolloutEffects& aEffects, Time aNow);
  void ExpireOrders(Time aNow);
  void SendOrders(RolloutEffects& aEffects, Time aNow);
  void SendOrder(RolloutEffects& aEffects, const BackendServerId& aEngine, EngineOrderKind aOrder,
                 const std::string& aVersion, Time aNow);
  bool MayOrder(const BackendServerId& aEngine, Time aNow) const;
  bool ChecksFence(const BackendServerId& aEngine) const;
  std::size_t OpenLoads() const;

  RolloutSettings m_settings;
  LeaseManager m_lease;
  bool m_superseded = false;
  Time m_heldSince{};

  std::uint64_t m_lastNumber = 0;
  std::uint64_t m_watchNumber = 0;
  bool m_watchOpen = false;
  Time m_watchSentAt{};
  Time m_nextWatch{};
  Revision m_revision = 0;
  std::optional<Configuration> m_configuration;
  std::optional<ApplyOperation> m_apply;
  std::uint64_t m_lastApplyNumber = 0;

  std::map<BackendServerId, Engine> m_engines;
  std::vector<std::string> m_entries;
  std::map<std::uint64_t, Order> m_orders;
  Time m_nextPoll{};
  Time m_nextEvidence{};
  Time m_nextLoad{};

  EvidencePool m_pool;
  /// By the name of the rollout.
  std::map<std::string, Trial> m_trials;
};

} // namespace fennelline
