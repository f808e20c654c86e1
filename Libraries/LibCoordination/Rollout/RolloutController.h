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

/// How roll-outs are driven.
struct RolloutSettings {
  LeaseSettings m_lease;
  /// How long a watch of the configuration waits at the platform.
  Duration m_watchWait = Seconds(5);
  Duration m_callTimeout = Seconds(8);
  Duration m_retryWait = Seconds(1);
  /// Engines and entries are asked this often.
  Duration m_pollInterval = Seconds(2);
  Duration m_evidenceInterval = Seconds(1);
  /// The weight store serves so many loads at once, begun at least so far apart.
  std::size_t m_maxLoads = 2;
  Duration m_loadSpacing = Milliseconds(500);
  /// An order without an answer for this long counts as lost: it may still take effect.
  Duration m_orderTimeout = Seconds(130);
  /// After an order, what an engine reports is believed again after this time: reports lag.
  Duration m_settleTime = Seconds(3);
  /// A new holder gives no order to an engine that does not check fences for this long: orders of
  /// the holder before are still on their way.
  Duration m_handoverWait = Seconds(12);
  /// Names of engines that refuse an order with an old fence; all do where m_allEnginesCheck.
  std::set<BackendServerId> m_enginesThatCheck;
  bool m_allEnginesCheck = false;
  /// The least time at one step of a roll-out.
  Duration m_leastStepTime = Seconds(10);
  SequentialTestPlan m_test;
  ChangeDetectorPlan m_detector;
};

enum class EngineOrderKind : std::uint8_t { Load, Unload };

/// Orders an engine to load or unload a version. The answer goes to OnOrderAnswered().
struct OrderEngine {
  std::uint64_t m_number = 0;
  BackendServerId m_engine;
  std::string m_address;
  EngineOrderKind m_order = EngineOrderKind::Load;
  std::string m_version;
  Revision m_fence = 0;
};

/// Reads the versions an engine has. The answer goes to OnEnginePolled().
struct PollEngine {
  BackendServerId m_engine;
  std::string m_address;
};

/// Reads an entry's evidence from its admin address. The answer goes to OnEvidence().
struct PollEvidence {
  std::string m_adminAddress;
};

using RolloutEffect =
  std::variant<CallPlatform, RecordTimeline, OrderEngine, PollEngine, PollEvidence>;
using RolloutEffects = std::vector<RolloutEffect>;

enum class OrderAnswer : std::uint8_t {
  Done,
  /// The engine knows a higher fence: another holder has come.
  StaleFence,
  /// Refused for another reason; nothing was done.
  Refused,
  /// No answer: it may have been carried out, or may yet be.
  Lost,
};

/// An engine of the platform's VM list.
struct EngineVm {
  BackendServerId m_engine;
  std::string m_address;
};

/// Drives roll-outs from the configuration document: gives engines their orders under a lease,
/// pools the entries' evidence, and advances or withdraws by a sequential test. The document is
/// the only record: another holder goes on from it alone. One runs on each entry VM; only the
/// holder of the lease acts.
///
/// The caller calls Tick() at least each 100 ms, carries out the effects and passes the answers
/// on. No order rests on the lease being valid when it is sent: it carries the fence, and what an
/// engine has is read back for as long as the lease is held (see docs/design/rollouts.md).
class RolloutController {
public:
  RolloutController(RolloutSettings aSettings, std::uint64_t aSeed);

  RolloutEffects Tick(Time aNow);
  RolloutEffects OnPlatformReply(const PlatformReply& aReply, Time aNow);
  void OnEngines(const std::vector<EngineVm>& aEngines);
  /// The admin addresses of the live entries.
  void OnEntries(std::vector<std::string> aAdminAddresses);
  /// aAsked is when the question was sent.
  void OnEnginePolled(const BackendServerId& aEngine, std::set<std::string> aVersions, Time aAsked);
  RolloutEffects OnOrderAnswered(std::uint64_t aNumber, OrderAnswer aAnswer,
                                 const std::set<std::string>& aVersions, Time aNow);
  void OnEvidence(const EntryId& aEntry, const std::vector<VersionEvidence>& aEvidence, Time aNow);
  /// Gives the lease back, for a graceful stop.
  RolloutEffects Release(Time aNow);

  bool IsHolder(Time aNow) const { return !m_deposed && m_lease.IsHeld(aNow); }
  std::optional<Revision> Fence() const { return m_lease.Fence(); }
  const std::string& Holder() const { return m_lease.Holder(); }
  const std::optional<Configuration>& CurrentConfiguration() const { return m_configuration; }
  std::vector<EngineLoad> Engines() const;
  ClusterCount Evidence(const std::string& aVersion) const { return m_pool.Total(aVersion); }
  std::size_t OpenOrders() const { return m_orders.size(); }

private:
  struct Engine {
    std::string m_address;
    /// Empty until it was read once.
    std::optional<std::set<std::string>> m_versions;
    /// Reports of before this instant are not believed.
    Time m_believeFrom{};
  };
  struct Order {
    BackendServerId m_engine;
    EngineOrderKind m_order = EngineOrderKind::Load;
    Time m_sent{};
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
  void BeginHolding(Time aNow);
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
  void GiveOrders(RolloutEffects& aEffects, Time aNow);
  void GiveOrder(RolloutEffects& aEffects, const BackendServerId& aEngine, EngineOrderKind aOrder,
                 const std::string& aVersion, Time aNow);
  bool MayOrder(const BackendServerId& aEngine, Time aNow) const;
  bool Checks(const BackendServerId& aEngine) const;
  std::size_t OpenLoads() const;

  RolloutSettings m_settings;
  LeaseManager m_lease;
  bool m_deposed = false;
  Time m_heldSince{};

  std::uint64_t m_lastNumber = 0;
  std::uint64_t m_watchNumber = 0;
  bool m_watchOpen = false;
  Time m_watchSent{};
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
  /// By the roll-out's name.
  std::map<std::string, Trial> m_trials;
};

} // namespace fennelline
