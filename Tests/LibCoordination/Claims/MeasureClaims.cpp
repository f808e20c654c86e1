// Measures the time, messages and memory of claims, settlements and usage copies. Run it alone on
// an idle machine; it checks nothing.

#include "LibCoordination/Claims/ClaimTable.h"
#include "LibCoordination/Usage/LedgerWriter.h"
#include "LibCoordination/Usage/UsageLedger.h"
#include "LibWire/MessageCodec.h"
#include "Tests/LibCoordination/Fakes/FakePlatform.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <deque>
#include <malloc.h>
#include <variant>
#include <vector>

using namespace fennelline;

namespace {

using Clock = std::chrono::steady_clock;

constexpr int kEntries = 5;
constexpr std::size_t kAnswerBytes = 500;

double MicrosSince(Clock::time_point aStart) {
  return std::chrono::duration<double, std::micro>(Clock::now() - aStart).count();
}

/// Claim tables connected without delay or loss.
struct Tables {
  struct QueuedMessage {
    int m_from = 0;
    int m_to = 0;
    Message m_message;
  };

  explicit Tables(std::uint32_t aShards) {
    ClaimSettings settings{.m_shardCount = aShards, .m_maxSlotsPerShard = 1000000};
    std::vector<MemberDigest> members;
    for (int i = 0; i < kEntries; ++i) {
      members.push_back({.m_entry = Name(i), .m_dataCentre = "dc-" + std::to_string(i % 3)});
      m_tables.emplace_back(settings, Name(i), members.back().m_dataCentre, i);
    }
    for (ClaimTable& table : m_tables) {
      table.OnMembers(members, m_now);
    }
    for (int round = 0; round < 3000; ++round) {
      m_now += Milliseconds(20);
      for (int i = 0; i < kEntries; ++i) {
        Apply(i, m_tables[i].Tick(m_now));
      }
      Deliver();
    }
  }

  static EntryId Name(int aEntry) { return "entry-" + std::to_string(aEntry) + "#1"; }

  void Apply(int aEntry, ClaimTable::ClaimStep aStep) {
    for (Effect& effect : aStep.m_effects) {
      if (SendMessage* message = std::get_if<SendMessage>(&effect)) {
        for (int to = 0; to < kEntries; ++to) {
          if (Name(to) == message->m_to) {
            m_queue.push_back({aEntry, to, std::move(message->m_message)});
          }
        }
      } else if (CallPlatform* call = std::get_if<CallPlatform>(&effect)) {
        const PlatformReply reply = m_platform.Handle(call->m_call, call->m_request);
        Apply(aEntry, m_tables[aEntry].OnPlatformReply(reply, m_now));
      }
    }
    for (ClaimOutcomeReport& outcome : aStep.m_outcomes) {
      m_outcomes.push_back(std::move(outcome));
    }
  }

  void Deliver() {
    while (!m_queue.empty()) {
      const QueuedMessage queued = std::move(m_queue.front());
      m_queue.pop_front();
      if (m_isCounting) {
        ++m_messages;
        m_bytes +=
          EncodeMessage({.m_from = Name(queued.m_from), .m_message = queued.m_message}).size();
      }
      Apply(queued.m_to,
            m_tables[queued.m_to].OnMessage(Name(queued.m_from), queued.m_message, m_now));
    }
  }

  /// Runs one request from its claim to the stored outcome, on all entries involved.
  void Claim(std::uint64_t aNumber) {
    const int entry = static_cast<int>(aNumber % kEntries);
    const RequestIdentity identity =
      ClaimIdentity(ClaimPurpose::Run, "mopane", "order-" + std::to_string(aNumber));
    Apply(entry, m_tables[entry].Begin(aNumber, identity, std::string(64, 'h'), m_now + Seconds(5),
                                       m_now));
    Deliver();
    const ClaimOutcomeReport outcome = m_outcomes.back();
    m_outcomes.clear();
    m_tables[entry].MaySend(identity, outcome.m_attempt, m_now);
    const StoredAnswer answer{.m_status = 200,
                              .m_contentType = "application/json",
                              .m_body = std::string(kAnswerBytes, 'a')};
    Apply(entry, m_tables[entry].Complete(identity, outcome.m_attempt, answer, m_now));
    Deliver();
  }

  Time m_now = Time(Seconds(1000));
  std::vector<ClaimTable> m_tables;
  std::deque<QueuedMessage> m_queue;
  std::vector<ClaimOutcomeReport> m_outcomes;
  FakePlatform m_platform;
  bool m_isCounting = false;
  std::size_t m_messages = 0;
  std::size_t m_bytes = 0;
};

void MeasureClaims(std::uint32_t aShards, std::uint64_t aSlots) {
  Tables tables(aShards);
  const std::size_t before = mallinfo2().uordblks;
  for (std::uint64_t i = 0; i < aSlots; ++i) {
    tables.Claim(i);
  }
  const std::size_t after = mallinfo2().uordblks;
  constexpr std::uint64_t kSample = 2000;
  std::vector<double> micros;
  for (std::uint64_t i = 0; i < kSample; ++i) {
    const Clock::time_point start = Clock::now();
    tables.Claim(aSlots + i);
    micros.push_back(MicrosSince(start));
  }
  std::sort(micros.begin(), micros.end());
  tables.m_isCounting = true;
  for (std::uint64_t i = 0; i < kSample; ++i) {
    tables.Claim(aSlots + kSample + i);
  }
  std::vector<double> ticks;
  for (int i = 0; i < 1000; ++i) {
    tables.m_now += Milliseconds(5);
    const Clock::time_point start = Clock::now();
    tables.m_tables[0].Tick(tables.m_now);
    ticks.push_back(MicrosSince(start));
  }
  std::sort(ticks.begin(), ticks.end());
  std::printf("shards %4u slots %7lu: claim to stored outcome, all entries: median %.1f us, p99 "
              "%.1f us; %.1f messages, %.0f bytes; memory %.0f bytes a claim over 3 holders and "
              "the owner; idle tick median %.2f us\n",
              aShards, static_cast<unsigned long>(aSlots), micros[kSample / 2],
              micros[kSample * 99 / 100],
              static_cast<double>(tables.m_messages) / static_cast<double>(kSample),
              static_cast<double>(tables.m_bytes) / static_cast<double>(kSample),
              static_cast<double>(after - before) / static_cast<double>(aSlots), ticks[500]);
}

UsageRecord MakeRecord(std::uint64_t aSequence) {
  return {.m_origin = "entry-0#1",
          .m_sequence = aSequence,
          .m_identity = {.m_customer = "customer-" + std::to_string(aSequence % 10),
                         .m_key = "order-" + std::to_string(aSequence)},
          .m_version = "tagger@3",
          .m_kind = "tag",
          .m_costMicros = 7};
}

void MeasureSettlement(std::uint64_t aRecords) {
  FakePlatform platform;
  LedgerWriter writer("entry-0#1", Seconds(3));
  PendingRecords pending;
  for (std::uint64_t i = 1; i <= aRecords; ++i) {
    pending.emplace(i, MakeRecord(i));
  }
  std::uint64_t calls = 0;
  std::size_t bytes = 0;
  const Time now = Time(Seconds(1000));
  const Clock::time_point start = Clock::now();
  while (!pending.empty()) {
    Effects effects;
    writer.Advance(pending, true, effects, calls, now);
    const CallPlatform& call = std::get<CallPlatform>(effects.at(0));
    if (const PutKey* put = std::get_if<PutKey>(&call.m_request)) {
      bytes = put->m_value.size();
    }
    writer.OnReply(platform.Handle(call.m_call, call.m_request), pending, now);
  }
  std::printf(
    "settlement of %6lu records of 10 customers: %.0f us, %lu calls, value of %zu bytes\n",
    static_cast<unsigned long>(aRecords), MicrosSince(start), static_cast<unsigned long>(calls),
    bytes);
}

void MeasureCopies() {
  UsageLedger origin({}, "entry-0#1", "dc-0", 1);
  UsageLedger peer({}, "entry-1#1", "dc-1", 2);
  const std::vector<MemberDigest> members = {{.m_entry = "entry-0#1", .m_dataCentre = "dc-0"},
                                             {.m_entry = "entry-1#1", .m_dataCentre = "dc-1"}};
  const Time now = Time(Seconds(1000));
  origin.OnMembers(members, now);
  constexpr int kSample = 5000;
  std::vector<double> micros;
  std::size_t bytes = 0;
  for (int i = 0; i < kSample; ++i) {
    const UsageRecord record = MakeRecord(static_cast<std::uint64_t>(i));
    const Clock::time_point start = Clock::now();
    const UsageLedger::UsageStep copy = origin.Record(record, now);
    const SendMessage& sent = std::get<SendMessage>(copy.m_effects.at(0));
    const UsageLedger::UsageStep copied = peer.OnMessage("entry-0#1", sent.m_message, now);
    const SendMessage& reply = std::get<SendMessage>(copied.m_effects.at(0));
    origin.OnMessage("entry-1#1", reply.m_message, now);
    micros.push_back(MicrosSince(start));
    bytes += EncodeMessage({.m_from = "entry-0#1", .m_message = sent.m_message}).size();
    bytes += EncodeMessage({.m_from = "entry-1#1", .m_message = reply.m_message}).size();
  }
  std::sort(micros.begin(), micros.end());
  std::printf("usage copy, both entries: median %.1f us, p99 %.1f us; 2 messages, %zu bytes\n",
              micros[kSample / 2], micros[kSample * 99 / 100], bytes / kSample);
}

} // namespace

int main() {
  for (const std::uint64_t slots : {1000UL, 10000UL, 100000UL}) {
    MeasureClaims(16, slots);
  }
  MeasureClaims(64, 10000);
  MeasureClaims(256, 10000);
  for (const std::uint64_t records : {100UL, 1000UL, 10000UL}) {
    MeasureSettlement(records);
  }
  MeasureCopies();
  return 0;
}
