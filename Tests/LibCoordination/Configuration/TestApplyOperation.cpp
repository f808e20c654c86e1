#include "LibBase/Random.h"
#include "LibCoordination/Configuration/ApplyOperation.h"
#include "Utilities/MeasureSpread/FakePlatform.h"

#include <doctest/doctest.h>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fennelline {
namespace {

constexpr const char* kBase = "base";

/// One operator with the loss rates of its calls and replies.
struct Operator {
  ApplyOperation m_operation;
  std::string m_text;
  std::optional<ApplyOutcome> m_outcome;
  std::vector<CallPlatform> m_calls;
};

Operator MakeOperator(const std::string& aText, Revision aReadAt) {
  ApplyInput input;
  input.m_text = aText;
  input.m_baseRevision = aReadAt;
  return Operator{ApplyOperation(input), aText, std::nullopt, {}};
}

/// Several operators that race each other over a lossy network with delays.
class Race {
public:
  explicit Race(std::uint64_t aSeed)
    : m_random(aSeed) {
    m_base = m_platform.Write(kConfigurationKey, kBase);
    m_writes[m_base] = kBase;
  }

  void Add(const std::string& aText) { m_operators.push_back(MakeOperator(aText, m_base)); }

  void Run(double aLoss) {
    for (Operator& item : m_operators) {
      Take(item, item.m_operation.Start(m_now));
    }
    for (int step = 0; step < 600; ++step) {
      m_now += Milliseconds(50);
      for (Operator& item : m_operators) {
        Take(item, item.m_operation.Tick(m_now));
        DeliverSome(item, aLoss);
      }
    }
  }

  const std::vector<Operator>& Operators() const { return m_operators; }
  const std::map<Revision, std::string>& Writes() const { return m_writes; }
  Revision Base() const { return m_base; }
  FakePlatform& Platform() { return m_platform; }

private:
  void Take(Operator& aOperator, Step<ApplyOutcome> aStep) {
    for (ApplyOutcome& outcome : aStep.m_outcomes) {
      CHECK_FALSE(aOperator.m_outcome.has_value());
      aOperator.m_outcome = outcome;
    }
    for (Effect& effect : aStep.m_effects) {
      aOperator.m_calls.push_back(std::get<CallPlatform>(effect));
    }
  }

  /// Calls are delayed at random, so that a late write may overtake a read-back.
  void DeliverSome(Operator& aOperator, double aLoss) {
    std::vector<CallPlatform> waiting;
    std::vector<CallPlatform> calls = std::move(aOperator.m_calls);
    aOperator.m_calls.clear();
    for (CallPlatform& call : calls) {
      if (m_random.Chance(0.7)) {
        waiting.push_back(std::move(call));
        continue;
      }
      if (m_random.Chance(aLoss)) {
        continue;
      }
      const PlatformReply reply = *m_platform.Handle(0, call, m_now);
      NoteWrite();
      if (!m_random.Chance(aLoss)) {
        Take(aOperator, aOperator.m_operation.OnPlatformReply(reply, m_now));
      }
    }
    aOperator.m_calls.insert(aOperator.m_calls.end(), waiting.begin(), waiting.end());
  }

  void NoteWrite() {
    const KeyValue* key = m_platform.Find(kConfigurationKey);
    m_writes[key->m_revision] = key->m_value;
  }

  Random m_random;
  Time m_now{Seconds(1000)};
  FakePlatform m_platform;
  Revision m_base = 0;
  std::vector<Operator> m_operators;
  std::map<Revision, std::string> m_writes;
};

TEST_CASE("at most one of several racing operators applies, and each learns the real outcome") {
  for (std::uint64_t seed = 1; seed <= 500; ++seed) {
    CAPTURE(seed);
    Race race(seed);
    race.Add("one");
    race.Add("two");
    race.Add("three");
    race.Run(seed % 2 == 0 ? 0.3 : 0.0);
    // The platform's own record: the base document and at most one change of it.
    CHECK(race.Writes().size() <= 2);
    const std::string last = race.Writes().rbegin()->second;
    for (const Operator& item : race.Operators()) {
      REQUIRE(item.m_outcome.has_value());
      if (std::holds_alternative<Applied>(*item.m_outcome)) {
        CHECK(last == item.m_text);
      }
      if (const ApplyConflict* conflict = std::get_if<ApplyConflict>(&*item.m_outcome)) {
        CHECK(last != item.m_text);
        CHECK(conflict->m_text == last);
      }
      if (std::holds_alternative<ApplyUnavailable>(*item.m_outcome)) {
        CHECK(last != item.m_text);
      }
    }
  }
}

TEST_CASE("a lost reply is resolved by reading back") {
  FakePlatform platform;
  const Revision base = platform.Write(kConfigurationKey, kBase);
  ApplyInput input;
  input.m_text = "new";
  input.m_baseRevision = base;
  ApplyOperation operation(input);
  Time now{Seconds(1)};
  const Step<ApplyOutcome> start = operation.Start(now);
  platform.Handle(0, std::get<CallPlatform>(start.m_effects.front()), now);
  std::optional<ApplyOutcome> outcome;
  for (int step = 0; step < 100 && !outcome; ++step) {
    now += Milliseconds(100);
    Step<ApplyOutcome> tick = operation.Tick(now);
    for (const Effect& effect : tick.m_effects) {
      const PlatformReply reply = *platform.Handle(0, std::get<CallPlatform>(effect), now);
      tick.Append(operation.OnPlatformReply(reply, now));
      break;
    }
    if (!tick.m_outcomes.empty()) {
      outcome = tick.m_outcomes.front();
    }
  }
  REQUIRE(outcome.has_value());
  CHECK(std::get<Applied>(*outcome).m_revision == base + 1);
}

TEST_CASE("an unreachable platform is never misreported as written or as not written") {
  Race race(1);
  race.Platform().m_down = true;
  race.Add("one");
  race.Run(0.0);
  CHECK(std::holds_alternative<ApplyUnavailable>(*race.Operators().front().m_outcome));
}

} // namespace
} // namespace fennelline
