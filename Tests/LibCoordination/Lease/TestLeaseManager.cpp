#include "LibBase/Random.h"
#include "LibCoordination/Lease/LeaseManager.h"
#include "Utilities/MeasureSpread/FakePlatform.h"

#include <deque>
#include <doctest/doctest.h>
#include <optional>
#include <string>
#include <vector>

namespace fennelline {
namespace {

constexpr const char* kKey = "fennelline/rollout/holder";

LeaseSettings MakeSettings(const std::string& aHolder) {
  LeaseSettings settings;
  settings.m_key = kKey;
  settings.m_holder = aHolder;
  return settings;
}

struct Candidate {
  LeaseManager m_manager;
  bool m_paused = false;
  std::deque<CallPlatform> m_calls;
  std::deque<PlatformReply> m_replies;
  std::vector<Revision> m_fences;
};

/// Several candidates for one lease. Calls and replies are delayed by steps or lost, and a paused
/// candidate reads them late.
class Candidates {
public:
  explicit Candidates(std::uint64_t aSeed)
    : m_random(aSeed) {
    for (const std::string name : {"a", "b", "c"}) {
      m_all.push_back({LeaseManager(MakeSettings(name), m_random.Next()), false, {}, {}, {}});
    }
  }

  void Step50Ms() {
    m_now += Milliseconds(50);
    for (Candidate& candidate : m_all) {
      DeliverCalls(candidate);
      if (candidate.m_paused) {
        continue;
      }
      while (!candidate.m_replies.empty()) {
        const PlatformReply reply = candidate.m_replies.front();
        candidate.m_replies.pop_front();
        Take(candidate, candidate.m_manager.OnPlatformReply(reply, m_now));
      }
      Take(candidate, candidate.m_manager.Tick(m_now));
    }
  }

  /// The number of running candidates that consider themselves the holder.
  std::size_t Holders() const {
    std::size_t holders = 0;
    for (const Candidate& candidate : m_all) {
      holders += !candidate.m_paused && candidate.m_manager.IsHeld(m_now) ? 1 : 0;
    }
    return holders;
  }

  /// The fence of a holder equals the revision of the key in the platform's own record.
  void CheckFences() const {
    for (const Candidate& candidate : m_all) {
      if (!candidate.m_paused && candidate.m_manager.IsHeld(m_now)) {
        REQUIRE(m_platform.Find(kKey) != nullptr);
        CHECK(m_platform.Find(kKey)->m_revision == candidate.m_manager.Fence());
      }
    }
  }

  std::vector<Candidate> m_all;
  FakePlatform m_platform;
  Random m_random;
  Time m_now{Seconds(1000)};
  double m_loss = 0.0;
  std::vector<Revision> m_fencesInOrder;

private:
  void DeliverCalls(Candidate& aCandidate) {
    while (!aCandidate.m_calls.empty() && m_random.Chance(0.5)) {
      const CallPlatform call = aCandidate.m_calls.front();
      aCandidate.m_calls.pop_front();
      if (m_random.Chance(m_loss)) {
        continue;
      }
      const PlatformReply reply = *m_platform.Handle(0, call, m_now);
      if (!m_random.Chance(m_loss)) {
        aCandidate.m_replies.push_back(reply);
      }
    }
  }

  void Take(Candidate& aCandidate, const Step<LeaseOutcome>& aStep) {
    for (const Effect& effect : aStep.m_effects) {
      aCandidate.m_calls.push_back(std::get<CallPlatform>(effect));
    }
    for (const LeaseOutcome& outcome : aStep.m_outcomes) {
      if (const LeaseAcquired* acquired = std::get_if<LeaseAcquired>(&outcome)) {
        m_fencesInOrder.push_back(acquired->m_fence);
      }
    }
  }
};

TEST_CASE("at most one running candidate considers itself the holder, and fences grow") {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    CAPTURE(seed);
    Candidates candidates(seed);
    candidates.m_loss = 0.1;
    std::size_t heldSteps = 0;
    for (int step = 0; step < 2400; ++step) {
      candidates.Step50Ms();
      CHECK(candidates.Holders() <= 1);
      candidates.CheckFences();
      heldSteps += candidates.Holders();
      Candidate& one = candidates.m_all[candidates.m_random.Below(3)];
      if (candidates.m_random.Chance(0.01)) {
        one.m_paused = !one.m_paused;
      }
      if (candidates.m_random.Chance(0.003)) {
        candidates.m_platform.m_down = !candidates.m_platform.m_down;
      }
    }
    for (std::size_t i = 1; i < candidates.m_fencesInOrder.size(); ++i) {
      CHECK(candidates.m_fencesInOrder[i] > candidates.m_fencesInOrder[i - 1]);
    }
    CHECK(heldSteps > 0);
  }
}

TEST_CASE("a holder that resumes after a pause longer than the lease no longer considers it held") {
  Candidates candidates(1);
  for (int step = 0; step < 200 && candidates.Holders() == 0; ++step) {
    candidates.Step50Ms();
  }
  REQUIRE(candidates.Holders() == 1);
  for (Candidate& candidate : candidates.m_all) {
    candidate.m_paused = candidate.m_manager.IsHeld(candidates.m_now);
  }
  for (int step = 0; step < 600; ++step) {
    candidates.Step50Ms();
  }
  CHECK(candidates.Holders() == 1);
  for (Candidate& candidate : candidates.m_all) {
    if (candidate.m_paused) {
      CHECK_FALSE(candidate.m_manager.IsHeld(candidates.m_now));
    }
  }
}

TEST_CASE("a late write under an earlier lease does not count for the current one") {
  FakePlatform platform;
  LeaseManager manager(MakeSettings("a"), 1);
  Time now{Seconds(1000)};
  std::optional<CallPlatform> latePut;
  std::deque<CallPlatform> calls;
  // The first write is held back until a later attempt writes; the replies to the later writes are
  // lost.
  for (int step = 0; step < 400; ++step) {
    now += Milliseconds(50);
    Step<LeaseOutcome> done = manager.Tick(now);
    for (std::size_t i = 0; i < done.m_effects.size(); ++i) {
      const CallPlatform call = std::get<CallPlatform>(done.m_effects[i]);
      const bool isPut = std::holds_alternative<PutKey>(call.m_request);
      if (isPut && !latePut) {
        latePut = call;
        continue;
      }
      if (isPut) {
        // Deliver the held-back first write just before this one, and lose this one's reply.
        platform.Handle(0, *latePut, now);
        platform.Handle(0, call, now);
        continue;
      }
      done.Append(manager.OnPlatformReply(*platform.Handle(0, call, now), now));
    }
    if (manager.IsHeld(now)) {
      REQUIRE(platform.Find(kKey) != nullptr);
      CHECK(platform.Find(kKey)->m_value == "a 1");
    }
  }
}

TEST_CASE("a released lease is acquired again, with one holder and a second fence") {
  Candidates candidates(2);
  for (int step = 0; step < 200 && candidates.Holders() == 0; ++step) {
    candidates.Step50Ms();
  }
  for (Candidate& candidate : candidates.m_all) {
    if (candidate.m_manager.IsHeld(candidates.m_now)) {
      const Step<LeaseOutcome> released = candidate.m_manager.Release(candidates.m_now);
      candidates.m_platform.Handle(0, std::get<CallPlatform>(released.m_effects.front()),
                                   candidates.m_now);
    }
  }
  for (int step = 0; step < 200; ++step) {
    candidates.Step50Ms();
  }
  CHECK(candidates.Holders() == 1);
  CHECK(candidates.m_fencesInOrder.size() == 2);
}

} // namespace
} // namespace fennelline
