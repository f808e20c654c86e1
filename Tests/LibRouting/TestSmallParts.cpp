#include "LibRouting/ContentFingerprint.h"
#include "LibRouting/CrashRecord.h"
#include "LibRouting/EntryDirectory.h"
#include "LibRouting/EscalationPolicy.h"
#include "LibRouting/LatencyBaseline.h"
#include "LibRouting/LoadUpdates.h"
#include "LibRouting/PrefillSpeedEstimator.h"
#include "LibRouting/RecentPrefixes.h"
#include "LibRouting/RecentSessions.h"
#include "LibRouting/ReplicaHealth.h"
#include "LibRouting/ShutdownPolicy.h"
#include "LibRouting/StreamPace.h"
#include "LibRouting/VersionRule.h"

#include "LibBase/Random.h"

#include <doctest/doctest.h>

using namespace fennelline;

namespace {

const Time kNow{Seconds(100)};

} // namespace

TEST_CASE(
  "an unreachable server is avoided for longer each time and used again right after a success") {
  ReplicaHealth health;
  health.OnUnreachable(kNow);
  CHECK(health.IsAvoided(kNow + Milliseconds(300)));
  CHECK(!health.IsAvoided(kNow + Milliseconds(500)));
  health.OnUnreachable(kNow + Milliseconds(500));
  CHECK(health.IsAvoided(kNow + Milliseconds(1200)));
  health.OnSuccess(kNow + Milliseconds(1200));
  CHECK(!health.IsAvoided(kNow + Milliseconds(1200)));
}

TEST_CASE("the failure rate decays, so that a recovered server is tried again") {
  ReplicaHealth health;
  for (int failure = 0; failure < 20; ++failure) {
    health.OnFailure(kNow);
  }
  CHECK(health.FailureRate(kNow) > 0.9);
  CHECK(health.FailureRate(kNow + Seconds(12)) < 0.1);
}

TEST_CASE(
  "a stopping entry accepts plain requests longer than streams and exits within its grace period") {
  const ShutdownPolicy plan{.m_grace = Seconds(8)};
  CHECK(plan.AcceptsRequest(RouteKind::Streaming, Seconds(2), Seconds(25)));
  CHECK(!plan.AcceptsRequest(RouteKind::Streaming, Seconds(3), Seconds(25)));
  CHECK(plan.AcceptsRequest(RouteKind::Idempotent, Seconds(5), Seconds(1)));
  CHECK(!plan.AcceptsRequest(RouteKind::NonIdempotent, Seconds(7), Seconds(1)));
  CHECK(!plan.MayExit(0, Seconds(3)));
  CHECK(plan.MayExit(0, Seconds(6)));
  CHECK(!plan.MayExit(1, Seconds(6)));
  CHECK(!plan.MustGiveUp(Milliseconds(7700)));
  CHECK(plan.MustGiveUp(Milliseconds(7800)));
  CHECK(!plan.MayExit(1, Milliseconds(7900)));
  CHECK(plan.MayExit(1, Milliseconds(7960)));
}

TEST_CASE("a stopping entry refuses requests that it might have to cut off") {
  const ShutdownPolicy plan{.m_grace = Seconds(8)};
  // What may run once only is accepted if its own time ends before the entry gives up.
  CHECK(plan.AcceptsRequest(RouteKind::NonIdempotent, Seconds(1), Milliseconds(6700)));
  CHECK(!plan.AcceptsRequest(RouteKind::NonIdempotent, Seconds(1), Milliseconds(6800)));
  CHECK(!plan.AcceptsRequest(RouteKind::NonIdempotent, Seconds(0), Seconds(8)));
  // What may be repeated is also accepted early on, since it probably finishes.
  CHECK(plan.AcceptsRequest(RouteKind::Idempotent, Seconds(2), Seconds(8)));
  CHECK(!plan.AcceptsRequest(RouteKind::Idempotent, Seconds(3), Seconds(8)));
  CHECK(plan.AcceptsRequest(RouteKind::Streaming, Seconds(4), Seconds(3)));
  CHECK(!plan.AcceptsRequest(RouteKind::Streaming, Seconds(4), Seconds(4)));
  // A long grace period does not extend the time in which the platform excuses what is cut off.
  const ShutdownPolicy slow{.m_grace = Seconds(30)};
  CHECK(!slow.AcceptsRequest(RouteKind::Streaming, Seconds(4), Seconds(40)));
}

TEST_CASE("low confidence of a smaller model is accepted while servers have a backlog") {
  const EscalationPolicy plan;
  CHECK(plan.IsDoubtful(30, 0.0));
  CHECK(!plan.IsDoubtful(90, 0.0));
  CHECK(plan.IsDoubtful(59, plan.m_usualMsBehind));
  CHECK(!plan.IsDoubtful(30, 1000.0));
  CHECK(!plan.IsDoubtful(std::nullopt, 0.0));
}

TEST_CASE(
  "the prefill speed follows the faster recent samples, however long the others were queued") {
  PrefillSpeedEstimator speed;
  Random random(3);
  for (int request = 0; request < 200; ++request) {
    const double seconds = 10'000 * 16e-6 + random.Exponential(0.3);
    speed.Learn("m", 10'000, Duration(0),
                std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)));
  }
  const double read = InSeconds(speed.PrefillTime("m", 10'000));
  CHECK(read > 0.15);
  CHECK(read < 0.30);
  speed.Learn("m", 10, Duration(0), Seconds(50));
  CHECK(InSeconds(speed.PrefillTime("m", 10'000)) == doctest::Approx(read));
}

TEST_CASE("a prefill speed estimate that started with a long wait recovers within some requests") {
  PrefillSpeedEstimator speed;
  speed.Learn("m", 10'000, Duration(0), Seconds(4));
  for (int request = 0; request < 25; ++request) {
    // Other prompts are expected to take longer than they do, which keeps the estimate too high.
    const Duration foreseen = speed.PrefillTime("m", 5000);
    speed.Learn("m", 10'000, foreseen, Milliseconds(160));
  }
  CHECK(InSeconds(speed.PrefillTime("m", 10'000)) < 0.32);
}

TEST_CASE("an expected wait is not counted as prefill") {
  PrefillSpeedEstimator speed;
  for (int request = 0; request < 50; ++request) {
    speed.Learn("m", 10'000, Milliseconds(800), Milliseconds(1000));
  }
  CHECK(InSeconds(speed.PrefillTime("m", 10'000)) == doctest::Approx(0.2).epsilon(0.15));
}

TEST_CASE("prefill time per token grows with the prompt length") {
  PrefillSpeedEstimator speed;
  speed.Learn("m", 4000, Duration(0), Milliseconds(100));
  CHECK(speed.PrefillTime("m", 40'000) > speed.PrefillTime("m", 4000) * 12);
}

TEST_CASE("callers get the entries of their own zone unless it has too few") {
  const std::vector<DirectoryEntry> entries = {{"a:1", "a"}, {"a:2", "a"}, {"b:1", "b"}};
  CHECK(ChooseEntries(entries, "a", 64) == std::vector<std::string>{"a:1", "a:2"});
  CHECK(ChooseEntries(entries, "b", 64).size() == 3);
  CHECK(ChooseEntries(entries, "unknown", 64).size() == 3);
  CHECK(ChooseEntries(entries, "unknown", 2).size() == 2);
}

TEST_CASE("load updates survive encoding and decoding, and malformed bytes are rejected") {
  const Result<std::vector<LoadUpdate>> notes =
    DecodeLoadUpdates(EncodeLoadUpdates({{.m_backend = ~0ULL, .m_prefillTime = Milliseconds(80)}}));
  REQUIRE(!notes.IsError());
  CHECK(notes.Get()[0].m_backend == ~0ULL);
  CHECK(notes.Get()[0].m_prefillTime == Milliseconds(80));
  CHECK(DecodeLoadUpdates("x").IsError());
}

TEST_CASE("a prefix is assumed to be cached for a limited time") {
  RecentPrefixes memory;
  memory.OnSent(7, kNow);
  CHECK(memory.Holds(7, kNow + Seconds(10)));
  CHECK(!memory.Holds(7, kNow + Seconds(60)));
  CHECK(!memory.Holds(8, kNow));
}

TEST_CASE("answers several times slower than usual are detected despite the usual variation") {
  LatencyBaseline usual;
  Random random(5);
  CHECK(!usual.IsSlow("k", Seconds(10)));
  for (int answer = 0; answer < 100; ++answer) {
    usual.Learn("k", Milliseconds(10 + static_cast<std::int64_t>(random.Below(10))));
  }
  CHECK(!usual.IsSlow("k", Milliseconds(30)));
  CHECK(usual.IsSlow("k", Milliseconds(120)));
  CHECK(!usual.IsSlow("other", Milliseconds(120)));
  CHECK(!usual.IsAboveMean("k", Milliseconds(18)));
  CHECK(usual.IsAboveMean("k", Milliseconds(30)));
  CHECK(!usual.IsAboveMean("other", Milliseconds(120)));
}

TEST_CASE("the canary receives its share of the sessions") {
  int chosen = 0;
  for (std::uint64_t session = 0; session < 20'000; ++session) {
    chosen += IsInTrial(Random(session).Next(), TrialShare(0.15)) ? 1 : 0;
  }
  // Well below the exposure limit, which also counts retries.
  CHECK(chosen < 0.15 * 20'000 * 0.7);
  CHECK(chosen > 0.15 * 20'000 * 0.5);
}

TEST_CASE("the canary and the ramp stay below the exposure limit, also of short orders") {
  constexpr double kExposedShare = 0.15;
  for (const int seconds : {3, 8, 16, 60}) {
    const Duration within = Seconds(seconds);
    const double ramp = kRampShare * InSeconds(RampTime(within)) / InSeconds(within);
    // The canary gets no requests in the first part of the order.
    CHECK(ramp + TrialShare(kExposedShare) / 2 < kExposedShare);
    CHECK(RampTime(within) < within / 4);
  }
}

TEST_CASE("a session on the old version is remembered until its requests stop") {
  RecentSessions memory;
  memory.OnServed(7, kNow);
  CHECK(memory.IsRunning(7, Seconds(5), kNow + Seconds(4)));
  memory.OnServed(7, kNow + Seconds(4));
  CHECK(memory.IsRunning(7, Seconds(5), kNow + Seconds(8)));
  CHECK(!memory.IsRunning(7, Seconds(5), kNow + Seconds(10)));
  CHECK(!memory.IsRunning(8, Seconds(5), kNow));
  CHECK(DecodeSessionHashes(EncodeSessionHashes({1, ~0ULL})).Get().back() == ~0ULL);
  CHECK(DecodeSessionHashes("x").IsError());
}

TEST_CASE("contents differ by account, method, target and body, and by nothing else") {
  const std::string content = ContentFingerprint("shop", "POST", "/a/1", "body");
  CHECK(content == ContentFingerprint("shop", "POST", "/a/1", "body"));
  CHECK(content != ContentFingerprint("other", "POST", "/a/1", "body"));
  CHECK(content != ContentFingerprint("shop", "PUT", "/a/1", "body"));
  CHECK(content != ContentFingerprint("shop", "POST", "/a/2", "body"));
  CHECK(content != ContentFingerprint("shop", "POST", "/a/1", "bodies"));
  CHECK(content != ContentFingerprint("shop", "POST", "/a/", "1body"));
}

TEST_CASE("the last part of a prompt has no fingerprint, since no other request has it") {
  CHECK(FingerprintParts("shop", {}).empty());
  CHECK(FingerprintParts("shop", {{.m_id = 0xa1, .m_tokens = 10}}).empty());
  const std::vector<SharedPart> parts = FingerprintParts("shop", {{.m_id = 0xa1, .m_tokens = 10},
                                                                  {.m_id = 0xb2, .m_tokens = 20},
                                                                  {.m_id = 0xa1, .m_tokens = 10},
                                                                  {.m_id = 0xc3, .m_tokens = 5}});
  REQUIRE(parts.size() == 2);
  CHECK(parts[0].m_anywhere == "part-a1");
  CHECK(parts[1].m_anywhere == "part-b2");
  CHECK(parts[0].m_inAccount.starts_with("part-a1@"));
  const std::vector<SharedPart> other =
    FingerprintParts("other", {{.m_id = 0xa1, .m_tokens = 99}, {.m_id = 0xd4, .m_tokens = 5}});
  REQUIRE(other.size() == 1);
  CHECK(other[0].m_anywhere == parts[0].m_anywhere);
  CHECK(other[0].m_inAccount != parts[0].m_inAccount);
}

TEST_CASE("a prompt of many parts has a bounded number of fingerprints") {
  std::vector<PromptPart> parts;
  for (std::uint64_t id = 1; id <= 1000; ++id) {
    parts.push_back({.m_id = id, .m_tokens = 1});
  }
  const std::vector<SharedPart> fingerprints = FingerprintParts("shop", parts);
  CHECK(fingerprints.size() == kMaxFingerprintedParts);
  CHECK(fingerprints.back().m_anywhere == "part-3e7");
}

TEST_CASE("a record of a crashing content is read as written, and others are errors") {
  const Result<CrashRecord> read = ParseCrashRecord(WriteCrashRecord({.m_refusals = 3}));
  REQUIRE(!read.IsError());
  CHECK(read.Get().m_refusals == 3);
  for (const char* text : {"", "{}", R"({"refusals":0})", R"({"refusals":"3"})", "[3]"}) {
    CHECK(ParseCrashRecord(text).IsError());
  }
}

TEST_CASE(
  "a stream's pace is known after three gaps, and a long prompt beside it hardly changes it") {
  StreamPace pace;
  Time now{Seconds(10)};
  for (const int milliseconds : {0, 40, 35}) {
    now += Milliseconds(milliseconds);
    pace.OnEvent(now);
  }
  CHECK(pace.Value() == Duration(0));
  for (const int milliseconds : {1200, 1200, 1200, 38, 1200, 1200}) {
    now += Milliseconds(milliseconds);
    pace.OnEvent(now);
  }
  CHECK(pace.Value() == Milliseconds(40));
}

TEST_CASE("the median of the first gaps is known early if they are long") {
  StreamPace pace;
  Time now{Seconds(10)};
  pace.OnEvent(now);
  for (const int milliseconds : {300, 300, 20, 310, 320}) {
    CHECK(pace.LeastMedian() == Duration(0));
    now += Milliseconds(milliseconds);
    pace.OnEvent(now);
  }
  // Whatever the three gaps to come, half of the first eight are at least as long as the shortest.
  CHECK(pace.LeastMedian() == Milliseconds(300));
  CHECK(!pace.HasMedian());
  for (const int milliseconds : {20, 20, 20, 20, 20}) {
    now += Milliseconds(milliseconds);
    pace.OnEvent(now);
  }
  CHECK(pace.HasMedian());
  CHECK(pace.LeastMedian() == Milliseconds(300));
}

TEST_CASE("the pace of a stream whose events are all slow is slow") {
  StreamPace pace;
  Time now{Seconds(10)};
  for (int events = 0; events < 100; ++events) {
    now += Milliseconds(400);
    pace.OnEvent(now);
    CHECK(pace.Value() == (events < 3 ? Duration(0) : Milliseconds(400)));
  }
}
