#pragma once

#include "LibBase/Random.h"
#include "LibBase/Time.h"
#include "LibCoordination/Effect.h"
#include "LibCoordination/Step.h"
#include "Tests/LibCoordination/Fakes/FakePlatform.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace fennelline {

/// The faults of the network and the platform of a SimulatedCluster.
struct FakeFaults {
  Duration m_minDelay = Milliseconds(1);
  Duration m_maxDelay = Milliseconds(4);
  /// Probabilities for each message. A slow message takes up to m_slowDelay.
  double m_loss = 0.0;
  double m_doubling = 0.0;
  double m_slow = 0.0;
  Duration m_slowDelay = Seconds(2);
  /// Probabilities that the reply to a platform call is lost after the call took effect: reported
  /// as Unknown, or without any reply.
  double m_lostReply = 0.0;
  double m_silentReply = 0.0;
};

/// Several reducers connected by an in-memory network and a fake platform, on a simulated clock.
/// Fully determined by the seed. Node has OnMessage(), OnPlatformReply(), OnMembers() and Tick(),
/// each returning Step<Outcome>.
template<typename Node, typename Outcome>
class SimulatedCluster {
public:
  using OutcomeHandler = std::function<void(const EntryId&, const Outcome&)>;

  explicit SimulatedCluster(std::uint64_t aSeed, FakeFaults aFaults = {})
    : m_random(aSeed)
    , m_faults(aFaults) {}

  Random& Dice() { return m_random; }
  Time Now() const { return m_now; }
  FakePlatform& Platform() { return m_platform; }
  FakeFaults& Faults() { return m_faults; }
  void OnOutcome(OutcomeHandler aHandler) { m_handler = std::move(aHandler); }

  void Add(const EntryId& aEntry, const DataCentre& aDataCentre, Node aNode) {
    m_nodes.insert_or_assign(aEntry, NodeState{.m_node = std::move(aNode),
                                               .m_digest = {.m_entry = aEntry,
                                                            .m_version = ++m_versions,
                                                            .m_dataCentre = aDataCentre}});
    At(m_now + m_membershipDelay, [this] { TellMembers(); });
    ScheduleTick(aEntry);
  }

  bool IsUp(const EntryId& aEntry) const { return m_nodes.contains(aEntry); }
  bool IsPaused(const EntryId& aEntry) const {
    const auto state = m_nodes.find(aEntry);
    return state != m_nodes.end() && m_now < state->second.m_pausedUntil;
  }
  Node& Of(const EntryId& aEntry) { return m_nodes.at(aEntry).m_node; }
  std::vector<EntryId> Entries() const {
    std::vector<EntryId> entries;
    for (const std::pair<const EntryId, NodeState>& state : m_nodes) {
      entries.push_back(state.first);
    }
    return entries;
  }

  /// Schedules an action.
  void At(Time aTime, std::function<void()> aAction) {
    m_events.emplace(std::pair(aTime, ++m_eventNumber), std::move(aAction));
  }

  /// Schedules an action of an entry. If the entry is paused, the action runs when it resumes; it
  /// never runs if the entry has crashed.
  void AtEntry(Time aTime, const EntryId& aEntry, std::function<void(Node&)> aAction) {
    At(aTime, [this, aEntry, aAction = std::move(aAction)] { Deliver(aEntry, aAction); });
  }

  /// Ends the process and discards its memory. The others learn of it after m_deathLag.
  void Crash(const EntryId& aEntry) {
    const auto state = m_nodes.find(aEntry);
    if (state == m_nodes.end()) {
      return;
    }
    m_dead.push_back(state->second.m_digest);
    m_dead.back().m_state = MemberState::Dead;
    m_nodes.erase(state);
    At(m_now + m_deathLag, [this] { TellMembers(); });
  }

  /// Pauses a process as SIGSTOP does. What arrives in the meantime is handled when it resumes. The
  /// others consider it dead once the pause is longer than m_deathLag. A pause within a longer one
  /// does not shorten it.
  void Pause(const EntryId& aEntry, Duration aLength) {
    Time& pausedUntil = m_nodes.at(aEntry).m_pausedUntil;
    pausedUntil = std::max(pausedUntil, m_now + aLength);
    At(m_now + m_deathLag, [this] { TellMembers(); });
    At(m_now + aLength + m_membershipDelay, [this] { TellMembers(); });
  }

  void SetLeaving(const EntryId& aEntry) {
    m_nodes.at(aEntry).m_digest.m_state = MemberState::Leaving;
    At(m_now + m_membershipDelay, [this] { TellMembers(); });
  }

  /// Until reset, the platform refuses every call or does not reply.
  void SetOutage(bool aIsOut) { m_isOut = aIsOut; }

  /// Separates the entries in aSide from all others and from the platform; an empty list heals the
  /// partition. Each side considers the other dead after m_deathLag.
  void Partition(std::vector<EntryId> aSide) {
    m_side = std::move(aSide);
    At(m_now + m_deathLag, [this] { TellMembers(); });
  }

  void Apply(const EntryId& aEntry, Step<Outcome> aStep) {
    for (Effect& effect : aStep.m_effects) {
      if (SendMessage* message = std::get_if<SendMessage>(&effect)) {
        Send(aEntry, std::move(*message));
      } else if (CallPlatform* call = std::get_if<CallPlatform>(&effect)) {
        Call(aEntry, std::move(*call));
      }
    }
    for (const Outcome& outcome : aStep.m_outcomes) {
      if (m_handler) {
        m_handler(aEntry, outcome);
      }
    }
  }

  void Run(Time aUntil) {
    while (!m_events.empty() && m_events.begin()->first.first <= aUntil) {
      const auto next = m_events.begin();
      m_now = std::max(m_now, next->first.first);
      const std::function<void()> action = std::move(next->second);
      m_events.erase(next);
      action();
    }
    m_now = aUntil;
  }

  std::size_t Messages() const { return m_messages; }

  Duration m_tickInterval = Milliseconds(20);
  Duration m_deathLag = Milliseconds(700);
  Duration m_membershipDelay = Milliseconds(100);

private:
  struct NodeState {
    Node m_node;
    MemberDigest m_digest;
    Time m_pausedUntil{};
  };

  void Deliver(const EntryId& aEntry, const std::function<void(Node&)>& aAction) {
    const auto state = m_nodes.find(aEntry);
    if (state == m_nodes.end()) {
      return;
    }
    if (m_now < state->second.m_pausedUntil) {
      At(state->second.m_pausedUntil, [this, aEntry, aAction] { Deliver(aEntry, aAction); });
      return;
    }
    aAction(state->second.m_node);
  }

  void ScheduleTick(const EntryId& aEntry) {
    AtEntry(m_now + m_tickInterval, aEntry, [this, aEntry](Node& aNode) {
      Apply(aEntry, aNode.Tick(m_now));
      ScheduleTick(aEntry);
    });
  }

  Duration DrawDelay() {
    const bool isSlow = m_random.Chance(m_faults.m_slow);
    const Duration most = isSlow ? m_faults.m_slowDelay : m_faults.m_maxDelay;
    const std::int64_t range = (most - m_faults.m_minDelay).count() + 1;
    return m_faults.m_minDelay + Duration(m_random.Below(static_cast<std::uint64_t>(range)));
  }

  bool IsCut(const EntryId& aFrom, const EntryId& aTo) const {
    const auto isInside = [&](const EntryId& aEntry) {
      return std::find(m_side.begin(), m_side.end(), aEntry) != m_side.end();
    };
    return isInside(aFrom) != isInside(aTo);
  }

  void Send(const EntryId& aFrom, SendMessage aMessage) {
    ++m_messages;
    if (IsCut(aFrom, aMessage.m_to) || m_random.Chance(m_faults.m_loss)) {
      return;
    }
    const int copies = m_random.Chance(m_faults.m_doubling) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      AtEntry(m_now + DrawDelay(), aMessage.m_to, [this, aFrom, aMessage](Node& aNode) {
        Apply(aMessage.m_to, aNode.OnMessage(aFrom, aMessage.m_message, m_now));
      });
    }
  }

  void Call(const EntryId& aFrom, CallPlatform aCall) {
    At(m_now + DrawDelay(), [this, aFrom, aCall = std::move(aCall)] {
      PlatformReply reply{.m_call = aCall.m_call, .m_status = PlatformStatus::Unavailable};
      const bool isCut = std::find(m_side.begin(), m_side.end(), aFrom) != m_side.end();
      if (!m_isOut && !isCut) {
        reply = m_platform.Handle(aCall.m_call, aCall.m_request);
      } else if (m_random.Chance(kSilentOutage)) {
        return;
      }
      if (m_random.Chance(m_faults.m_silentReply)) {
        return;
      }
      if (m_random.Chance(m_faults.m_lostReply)) {
        reply = {.m_call = aCall.m_call, .m_status = PlatformStatus::Unknown};
      }
      AtEntry(m_now + DrawDelay(), aFrom, [this, aFrom, reply](Node& aNode) {
        Apply(aFrom, aNode.OnPlatformReply(reply, m_now));
      });
    });
  }

  /// Delivers what membership would report: paused, crashed or separated processes are dead.
  void TellMembers() {
    for (const EntryId& entry : Entries()) {
      std::vector<MemberDigest> digests = m_dead;
      for (const std::pair<const EntryId, NodeState>& state : m_nodes) {
        digests.push_back(state.second.m_digest);
        if (state.second.m_pausedUntil > m_now || IsCut(entry, state.first)) {
          digests.back().m_state = MemberState::Dead;
        }
      }
      AtEntry(m_now, entry, [this, entry, digests](Node& aNode) {
        Apply(entry, aNode.OnMembers(digests, m_now));
      });
    }
  }

  static constexpr double kSilentOutage = 0.3;

  Random m_random;
  FakeFaults m_faults;
  FakePlatform m_platform;
  OutcomeHandler m_handler;
  Time m_now = Time(Seconds(1000));
  std::map<std::pair<Time, std::uint64_t>, std::function<void()>> m_events;
  std::uint64_t m_eventNumber = 0;
  std::uint64_t m_versions = 0;
  std::map<EntryId, NodeState> m_nodes;
  std::vector<MemberDigest> m_dead;
  std::vector<EntryId> m_side;
  bool m_isOut = false;
  std::size_t m_messages = 0;
};

} // namespace fennelline
