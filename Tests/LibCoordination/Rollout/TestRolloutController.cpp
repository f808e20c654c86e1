#include "LibCoordination/Rollout/RolloutController.h"
#include "Utilities/MeasureSpread/FakePlatform.h"

#include <algorithm>
#include <deque>
#include <doctest/doctest.h>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace fennelline {
namespace {

constexpr int kEngines = 9;
constexpr int kControllers = 3;
constexpr Duration kStep = Milliseconds(100);
constexpr const char* kOld = "tagger@1";
constexpr const char* kNew = "tagger@2";

Configuration MakeConfiguration() {
  Configuration configuration;
  configuration.m_currency = "ZAR";
  for (const char* name : {kOld, kNew}) {
    ModelVersion version;
    version.m_name = name;
    version.m_model = "tagger";
    configuration.m_versions.push_back(version);
  }
  Rollout rollout;
  rollout.m_name = "tagger-2";
  rollout.m_model = "tagger";
  rollout.m_from = kOld;
  rollout.m_to = kNew;
  rollout.m_stepPercents = {5, 25, 100};
  configuration.m_rollouts.push_back(rollout);
  return configuration;
}

/// An engine whose loads take time and that may or may not check fences.
struct FakeEngine {
  std::string m_name;
  bool m_checks = false;
  Revision m_highestFence = 0;
  std::set<std::string> m_versions = {kOld};

  OrderAnswer Execute(const SendEngineOrder& aOrder) {
    if (m_checks && aOrder.m_fence < m_highestFence) {
      return OrderAnswer::StaleFence;
    }
    m_highestFence = std::max(m_highestFence, aOrder.m_fence);
    if (aOrder.m_order == EngineOrderKind::Load) {
      m_versions.insert(aOrder.m_version);
    } else {
      m_versions.erase(aOrder.m_version);
    }
    return OrderAnswer::Done;
  }
};

/// Controllers, engines, the platform and one entry's evidence, on a network with delays.
class RolloutSimulation {
public:
  explicit RolloutSimulation(std::uint64_t aSeed, bool aEnginesCheck)
    : m_random(aSeed) {
    m_platform.Write(kConfigurationKey, WriteConfiguration(MakeConfiguration()));
    for (int i = 0; i < kEngines; ++i) {
      m_engines.push_back({"engine-" + std::to_string(i), aEnginesCheck, 0, {kOld}});
    }
    for (int i = 0; i < kControllers; ++i) {
      StartController(aEnginesCheck);
    }
  }

  void StartController(bool aEnginesCheck) {
    RolloutSettings settings;
    settings.m_lease.m_key = "fennelline/rollout/holder";
    settings.m_lease.m_holder = "vm" + std::to_string(m_controllers.size());
    settings.m_allEnginesCheck = aEnginesCheck;
    settings.m_minStepTime = Seconds(3);
    m_controllers.push_back({std::make_unique<RolloutController>(settings, m_random.Next())});
    std::vector<EngineVm> vms;
    for (const FakeEngine& engine : m_engines) {
      vms.push_back({engine.m_name, "10.0.0.9:" + engine.m_name});
    }
    m_controllers.back().m_reducer->OnEngines(vms);
    m_controllers.back().m_reducer->OnEntries({"10.0.0.1:7001"});
  }

  void RunFor(Duration aDuration) {
    for (const Time end = m_now + aDuration; m_now < end;) {
      m_now += kStep;
      Serve();
      Deliver();
      for (std::size_t i = 0; i < m_controllers.size(); ++i) {
        if (m_controllers[i].m_up && !m_controllers[i].m_paused) {
          Send(i, m_controllers[i].m_reducer->Tick(m_now));
        }
      }
    }
  }

  /// Runs until a rollout reaches the state. Returns false on timeout.
  bool RunUntil(RolloutState aState, Duration aLimit) {
    for (const Time end = m_now + aLimit; m_now < end;) {
      RunFor(Seconds(1));
      if (Read().m_rollouts.front().m_state == aState) {
        return true;
      }
    }
    return false;
  }

  Configuration Read() const {
    return ParseConfiguration(m_platform.Find(kConfigurationKey)->m_value).Take();
  }

  /// The index of the holder, or -1.
  int Holder() const {
    for (std::size_t i = 0; i < m_controllers.size(); ++i) {
      const bool runs = m_controllers[i].m_up && !m_controllers[i].m_paused;
      if (runs && m_controllers[i].m_reducer->IsHolder(m_now)) {
        return static_cast<int>(i);
      }
    }
    return -1;
  }

  bool EveryEngineHas(const std::string& aVersion) const {
    return std::all_of(m_engines.begin(), m_engines.end(), [&aVersion](const FakeEngine& aEngine) {
      return aEngine.m_versions.contains(aVersion);
    });
  }
  bool AnyEngineHas(const std::string& aVersion) const {
    return std::any_of(m_engines.begin(), m_engines.end(), [&aVersion](const FakeEngine& aEngine) {
      return aEngine.m_versions.contains(aVersion);
    });
  }

  struct Controller {
    std::unique_ptr<RolloutController> m_reducer;
    bool m_up = true;
    bool m_paused = false;
    std::vector<std::function<void()>> m_unread;
  };
  struct Sent {
    Time m_at;
    std::size_t m_from = 0;
    RolloutEffect m_effect;
  };

  std::vector<Controller> m_controllers;
  std::vector<FakeEngine> m_engines;
  FakePlatform m_platform;
  Random m_random;
  Time m_now{Seconds(1000)};
  double m_badRate = 0.005;
  double m_loss = 0.0;
  /// Orders that the network holds back until the test releases them.
  bool m_holdOrders = false;
  std::vector<Sent> m_held;
  std::set<std::size_t> m_steps;
  std::size_t m_maxOpenLoads = 0;

private:
  /// One second of traffic, of which the new version gets its share where an engine has it.
  void Serve() {
    const Rollout rollout = Read().m_rollouts.front();
    m_steps.insert(rollout.m_step);
    const bool serves = AnyEngineHas(kNew) && rollout.NewVersionShare() > 0;
    if (!serves) {
      return;
    }
    constexpr double kClustersPerStep = 40.0;
    for (int i = 0; i < static_cast<int>(kClustersPerStep * rollout.NewVersionShare()) + 1; ++i) {
      ++m_evidence.m_sessions;
      m_evidence.m_badSessions += m_random.Chance(m_badRate) ? 1 : 0;
    }
    m_evidence.m_version = kNew;
    m_evidence.m_kind = "tag";
  }

  void Send(std::size_t aFrom, RolloutEffects aEffects) {
    for (RolloutEffect& effect : aEffects) {
      if (std::holds_alternative<RecordTimeline>(effect)) {
        continue;
      }
      Sent sent{m_now + Milliseconds(static_cast<std::int64_t>(m_random.Below(400))), aFrom,
                std::move(effect)};
      const bool isHeld = m_holdOrders && std::holds_alternative<SendEngineOrder>(sent.m_effect);
      (isHeld ? m_held : m_sent).push_back(std::move(sent));
    }
  }

  void Deliver() {
    std::vector<Sent> sent = std::move(m_sent);
    m_sent.clear();
    std::size_t loads = 0;
    for (Sent& item : sent) {
      const SendEngineOrder* order = std::get_if<SendEngineOrder>(&item.m_effect);
      loads += order != nullptr && order->m_order == EngineOrderKind::Load ? 1 : 0;
      if (item.m_at > m_now) {
        m_sent.push_back(std::move(item));
      } else if (!m_random.Chance(m_loss)) {
        std::visit([this, &item](auto& aEffect) { Dispatch(item.m_from, aEffect); }, item.m_effect);
      }
    }
    m_maxOpenLoads = std::max(m_maxOpenLoads, loads);
    for (PlatformReplyTo& reply : m_platform.Advance(m_now)) {
      Answer(static_cast<std::size_t>(reply.m_caller), reply.m_reply);
    }
  }

  void Dispatch(std::size_t aFrom, const CallPlatform& aCall) {
    const std::optional<PlatformReply> reply =
      m_platform.Handle(static_cast<int>(aFrom), aCall, m_now);
    if (reply) {
      Answer(aFrom, *reply);
    }
  }
  void Dispatch(std::size_t, const RecordTimeline&) {}
  void Dispatch(std::size_t aFrom, const PollEngine& aPoll) {
    const std::set<std::string> versions = Find(aPoll.m_engine).m_versions;
    const Time asked = m_now;
    DeliverLater(aFrom, [this, aFrom, aPoll, versions, asked] {
      m_controllers[aFrom].m_reducer->OnEnginePolled(aPoll.m_engine, versions, asked);
    });
  }
  void Dispatch(std::size_t aFrom, const PollEvidence&) {
    const VersionEvidence evidence = m_evidence;
    DeliverLater(aFrom, [this, aFrom, evidence] {
      m_controllers[aFrom].m_reducer->OnEvidence("entry#1", {evidence}, m_now);
    });
  }

public:
  void Dispatch(std::size_t aFrom, const SendEngineOrder& aOrder) {
    FakeEngine& engine = Find(aOrder.m_engine);
    const OrderAnswer answer = engine.Execute(aOrder);
    const std::set<std::string> versions = engine.m_versions;
    DeliverLater(aFrom, [this, aFrom, aOrder, answer, versions] {
      Send(aFrom, m_controllers[aFrom].m_reducer->OnOrderAnswered(aOrder.m_number, answer, versions,
                                                                  m_now));
    });
  }

  FakeEngine& Find(const std::string& aName) {
    return *std::find_if(m_engines.begin(), m_engines.end(),
                         [&aName](const FakeEngine& aEngine) { return aEngine.m_name == aName; });
  }

  void Resume(std::size_t aController) {
    Controller& controller = m_controllers[aController];
    controller.m_paused = false;
    std::vector<std::function<void()>> unread = std::move(controller.m_unread);
    controller.m_unread.clear();
    for (const std::function<void()>& read : unread) {
      read();
    }
  }

private:
  void Answer(std::size_t aTo, const PlatformReply& aReply) {
    if (!m_random.Chance(m_loss)) {
      DeliverLater(aTo, [this, aTo, aReply] {
        Send(aTo, m_controllers[aTo].m_reducer->OnPlatformReply(aReply, m_now));
      });
    }
  }

  void DeliverLater(std::size_t aTo, std::function<void()> aRead) {
    Controller& controller = m_controllers[aTo];
    if (controller.m_paused) {
      controller.m_unread.push_back(std::move(aRead));
    } else if (controller.m_up) {
      aRead();
    }
  }

  std::vector<Sent> m_sent;
  VersionEvidence m_evidence;
};

TEST_CASE("a good version passes every step and ends up on every engine") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    RolloutSimulation simulation(seed, seed % 2 == 0);
    CHECK(simulation.RunUntil(RolloutState::Done, Seconds(300)));
    simulation.RunFor(Seconds(60));
    CHECK(simulation.EveryEngineHas(kNew));
    CHECK(simulation.m_steps == std::set<std::size_t>{0, 1, 2});
    // At most two concurrent loads, also with several controllers.
    CHECK(simulation.m_maxOpenLoads <= 2);
    CHECK(FindVersion(simulation.Read(), kOld)->m_state == VersionState::Draining);
  }
}

TEST_CASE("a bad version is rolled back, revoked and unloaded, and never fully rolled out") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    RolloutSimulation simulation(seed, seed % 2 == 0);
    simulation.m_badRate = 0.3;
    CHECK(simulation.RunUntil(RolloutState::RolledBack, Seconds(300)));
    simulation.RunFor(Seconds(60));
    CHECK_FALSE(simulation.AnyEngineHas(kNew));
    CHECK(simulation.EveryEngineHas(kOld));
    CHECK(FindVersion(simulation.Read(), kNew)->m_state == VersionState::Revoked);
    CHECK(FindVersion(simulation.Read(), kOld)->m_state == VersionState::Serving);
    CHECK_FALSE(simulation.m_steps.contains(2));
  }
}

TEST_CASE("a version that regresses after its rollout is replaced by its predecessor") {
  RolloutSimulation simulation(1, true);
  REQUIRE(simulation.RunUntil(RolloutState::Done, Seconds(300)));
  simulation.RunFor(Seconds(60));
  simulation.m_badRate = 0.3;
  CHECK(simulation.RunUntil(RolloutState::RolledBack, Seconds(60)));
  CHECK(FindVersion(simulation.Read(), kOld)->m_state == VersionState::Serving);
  CHECK(FindVersion(simulation.Read(), kNew)->m_state == VersionState::Revoked);
}

TEST_CASE("lease holders that crash, pause or lose calls do not stop the rollout") {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    CAPTURE(seed);
    const bool checks = seed % 2 == 0;
    RolloutSimulation simulation(seed, checks);
    simulation.m_loss = 0.03;
    for (int fault = 0; fault < 6; ++fault) {
      simulation.RunFor(Seconds(10 + static_cast<std::int64_t>(simulation.m_random.Below(20))));
      const int holder = simulation.Holder();
      if (holder < 0) {
        continue;
      }
      RolloutSimulation::Controller& controller =
        simulation.m_controllers[static_cast<std::size_t>(holder)];
      if (simulation.m_random.Chance(0.5)) {
        controller.m_up = false;
        simulation.StartController(checks);
      } else {
        controller.m_paused = true;
        simulation.RunFor(Seconds(static_cast<std::int64_t>(simulation.m_random.Below(40))));
        simulation.Resume(static_cast<std::size_t>(holder));
      }
    }
    simulation.m_loss = 0.0;
    CHECK(simulation.RunUntil(RolloutState::Done, Seconds(400)));
    simulation.RunFor(Seconds(150));
    CHECK(simulation.EveryEngineHas(kNew));
    CHECK(simulation.m_steps == std::set<std::size_t>{0, 1, 2});
  }
}

TEST_CASE(
  "late orders of an old holder are refused by engines that check fences and undone on others") {
  for (const bool checks : {true, false}) {
    CAPTURE(checks);
    RolloutSimulation simulation(7, checks);
    simulation.m_holdOrders = true;
    for (int second = 0; second < 60 && simulation.m_held.empty(); ++second) {
      simulation.RunFor(Seconds(1));
    }
    REQUIRE_FALSE(simulation.m_held.empty());
    const std::vector<RolloutSimulation::Sent> late = std::move(simulation.m_held);
    const std::size_t old = late.front().m_from;
    // The platform's own record of the lease gives the fence that the order must carry.
    const Revision oldFence = simulation.m_platform.Find("fennelline/rollout/holder")->m_revision;
    simulation.m_controllers[old].m_paused = true;
    simulation.m_holdOrders = false;
    // A new holder takes over, and an operator revokes the version that the old holder wants
    // loaded.
    Configuration edited = simulation.Read();
    edited.m_versions[1].m_state = VersionState::Revoked;
    simulation.m_platform.Write(kConfigurationKey, WriteConfiguration(edited));
    simulation.RunFor(Seconds(60));
    REQUIRE(simulation.Holder() >= 0);
    REQUIRE(simulation.Holder() != static_cast<int>(old));
    CHECK_FALSE(simulation.AnyEngineHas(kNew));
    const Revision newFence =
      *simulation.m_controllers[static_cast<std::size_t>(simulation.Holder())].m_reducer->Fence();
    SendEngineOrder order = std::get<SendEngineOrder>(late.front().m_effect);
    CHECK(order.m_fence == oldFence);
    CHECK(order.m_fence < newFence);
    // The engine has already received an order of the new holder, such as one at its start.
    simulation.Find(order.m_engine).m_highestFence = newFence;
    simulation.Dispatch(old, order);
    CHECK(simulation.AnyEngineHas(kNew) == !checks);
    simulation.RunFor(Seconds(10));
    CHECK_FALSE(simulation.AnyEngineHas(kNew));
    simulation.Resume(old);
    simulation.RunFor(Seconds(1));
    CHECK_FALSE(simulation.m_controllers[old].m_reducer->IsHolder(simulation.m_now));
  }
}

TEST_CASE("a rollout that an operator pauses in the meantime is not advanced") {
  RolloutSimulation simulation(3, true);
  Configuration edited = simulation.Read();
  edited.m_rollouts[0].m_state = RolloutState::Paused;
  simulation.m_platform.Write(kConfigurationKey, WriteConfiguration(edited));
  simulation.RunFor(Seconds(100));
  CHECK(simulation.Read().m_rollouts[0].m_state == RolloutState::Paused);
  CHECK(simulation.m_steps == std::set<std::size_t>{0});
  edited = simulation.Read();
  edited.m_rollouts[0].m_state = RolloutState::Running;
  simulation.m_platform.Write(kConfigurationKey, WriteConfiguration(edited));
  CHECK(simulation.RunUntil(RolloutState::Done, Seconds(300)));
}

TEST_CASE("planning is idempotent") {
  const Configuration configuration = MakeConfiguration();
  std::vector<EngineLoad> engines;
  for (int i = 0; i < kEngines; ++i) {
    engines.push_back({"engine-" + std::to_string(i), {kOld}});
  }
  const std::vector<EngineLoad> planned = PlanEngines(configuration, engines);
  CHECK(planned != engines);
  CHECK(PlanEngines(configuration, planned) == planned);
}

} // namespace
} // namespace fennelline
