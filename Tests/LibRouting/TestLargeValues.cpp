#include "LibRouting/LargeValue.h"
#include "LibRouting/LargeValueSender.h"
#include "LibRouting/LargeValueSource.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>

using namespace fennelline;

namespace {

const Time kNow{Seconds(10)};
const DeferredValue kValue{.m_key = "configuration", .m_revision = 7};
/// 10 Mbit/s, the narrowest link.
constexpr std::size_t kNarrowLink = 1'250'000;
constexpr std::size_t kWideLink = 25'000'000;

} // namespace

TEST_CASE("a large value survives encoding, and damaged bytes are rejected") {
  std::string text;
  for (int number = 0; number < 20'000; ++number) {
    text += "route " + std::to_string(number) + '\0';
  }
  const std::string bytes = EncodeLargeValue({.m_key = "a", .m_value = text, .m_revision = 9}, 3);
  CHECK(bytes.size() < text.size() / 3);
  const Result<LargeValue> value = DecodeLargeValue(bytes);
  REQUIRE(!value.IsError());
  CHECK(value.Get().m_key.m_key == "a");
  CHECK(value.Get().m_key.m_revision == 9);
  CHECK(value.Get().m_key.m_value == text);
  CHECK(value.Get().m_era == 3);
  CHECK(DecodeLargeValue("").IsError());
  CHECK(DecodeLargeValue("noise").IsError());
  std::size_t rejected = 0;
  for (std::size_t length = 0; length < bytes.size(); length += 97) {
    rejected += DecodeLargeValue(bytes.substr(0, length)).IsError() ? 1 : 0;
  }
  CHECK(rejected == (bytes.size() + 96) / 97);
}

TEST_CASE("a value that claims an impossible size is rejected without allocating it") {
  // A zstd frame header that announces 2^40 bytes.
  const std::vector<std::uint8_t> frame = {0x28, 0xb5, 0x2f, 0xfd, 0xe0, 0x00, 0x00,
                                           0x00, 0x00, 0x00, 0x01, 0x00, 0x00};
  std::string bytes("\x93\xa1"
                    "a\x09\xc4",
                    5);
  bytes += static_cast<char>(frame.size());
  bytes.append(frame.begin(), frame.end());
  CHECK(DecodeLargeValue(bytes).IsError());
}

TEST_CASE("a query for a large value survives encoding, and malformed ones are rejected") {
  const Result<LargeValueQuery> query =
    DecodeLargeValueQuery(EncodeLargeValueQuery({.m_wanted = kValue, .m_from = "10.0.0.1:80"}));
  REQUIRE(!query.IsError());
  CHECK(query.Get().m_wanted == kValue);
  CHECK(query.Get().m_from == "10.0.0.1:80");
  CHECK(DecodeLargeValueQuery("").IsError());
  CHECK(DecodeLargeValueQuery("\x91\xa1x").IsError());
}

TEST_CASE("the announcer is asked first, then the holder that it names") {
  LargeValueSource source(1);
  source.Start(66, kNow);
  source.SetAnnouncer("watcher");
  CHECK(source.Choose({"a", "b"}, kNow).m_peer == "watcher");
  CHECK(source.OnBusy("b") == Duration(0));
  CHECK(source.Choose({"a", "b"}, kNow).m_peer == "b");
  CHECK(source.OnFailure() > Duration(0));
}

TEST_CASE("an announcer that is gone does not keep a value from an entry") {
  const std::vector<std::string> peers = {"gone", "holder", "other", "second holder"};
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    LargeValueSource source(seed);
    source.Start(peers.size(), kNow);
    source.SetAnnouncer("gone");
    Time now = kNow;
    LargeValueSource::Choice choice = source.Choose(peers, now);
    while (!choice.m_isStore && !choice.m_peer.ends_with("holder")) {
      now += source.OnFailure();
      choice = source.Choose(peers, now);
    }
    // The store at the latest, within half of the bound on configurations.
    CHECK(now < kNow + Milliseconds(1500));
  }
}

TEST_CASE("the store is asked once no peer has served the value, by one entry after the other") {
  constexpr std::size_t kEntries = 66;
  std::vector<Time> firstCalls;
  for (std::uint64_t seed = 1; seed <= kEntries; ++seed) {
    LargeValueSource source(seed);
    source.Start(kEntries, kNow);
    source.SetAnnouncer("watcher");
    Time now = kNow;
    while (!source.Choose({"a"}, now).m_isStore) {
      now += source.OnFailure();
      REQUIRE(now < kNow + Seconds(3));
    }
    firstCalls.push_back(now);
    CHECK_FALSE(source.Choose({"a"}, now).m_isStore);
  }
  CHECK(*std::min_element(firstCalls.begin(), firstCalls.end()) >= kNow + Seconds(1));
  const auto inOneSlot = [&firstCalls](Time aFrom) {
    return std::count_if(firstCalls.begin(), firstCalls.end(), [aFrom](Time aCall) {
      return aCall >= aFrom && aCall < aFrom + Milliseconds(100);
    });
  };
  // 10 in 100 ms on average.
  for (const Time call : firstCalls) {
    CHECK(inOneSlot(call) <= 25);
  }
}

TEST_CASE("an entry without peers asks the store") {
  LargeValueSource source(1);
  source.Start(1, kNow);
  CHECK(source.Choose({}, kNow).m_isStore);
}

TEST_CASE("a sender takes on what its link sends within a quarter of a second") {
  LargeValueSender narrow;
  LargeValueSender wide;
  int narrowStarts = 0;
  int wideStarts = 0;
  for (int receiver = 0; receiver < 100; ++receiver) {
    const std::string address = std::to_string(receiver);
    narrowStarts += narrow.Start(kValue, address, 100'000, kNarrowLink, kNow) ? 1 : 0;
    wideStarts += wide.Start(kValue, address, 100'000, kWideLink, kNow) ? 1 : 0;
  }
  CHECK(narrowStarts == 3);
  CHECK(wideStarts == 62);
  CHECK(narrow.Start(kValue, "later", 100'000, kNarrowLink, kNow + Milliseconds(250)));
}

TEST_CASE("a value that takes the link longer than the limit is sent to one entry at a time") {
  LargeValueSender sender;
  CHECK(sender.Start(kValue, "a", 1'000'000, kNarrowLink, kNow));
  CHECK_FALSE(sender.Start(kValue, "b", 1'000'000, kNarrowLink, kNow + Milliseconds(700)));
  CHECK(sender.NextHolder(kNow + Milliseconds(700)).empty());
  CHECK(sender.Start(kValue, "b", 1'000'000, kNarrowLink, kNow + Milliseconds(800)));
}

TEST_CASE("those turned away are sent in turn to entries that have received the same value") {
  LargeValueSender sender;
  sender.Start(kValue, "a", 100'000, kNarrowLink, kNow);
  sender.Start(kValue, "b", 100'000, kNarrowLink, kNow);
  CHECK(sender.NextHolder(kNow).empty());
  CHECK(sender.NextHolder(kNow + Milliseconds(180)) == "a");
  const Time later = kNow + Milliseconds(300);
  const std::vector<std::string> named = {sender.NextHolder(later), sender.NextHolder(later)};
  CHECK(std::count(named.begin(), named.end(), "a") == 1);
  CHECK(std::count(named.begin(), named.end(), "b") == 1);
  sender.Start({.m_key = kValue.m_key, .m_revision = 8}, "c", 100'000, kNarrowLink, later);
  CHECK(sender.NextHolder(later).empty());
}

namespace {

/// Entries that want a value from those that watch the store. Calls take a round trip, transfers
/// what the links need.
struct SpreadRun {
  std::size_t m_entries = 0;
  std::size_t m_watchers = 0;
  std::size_t m_bytes = 0;
  std::size_t m_watcherLink = 0;
  std::size_t m_entryLink = 0;
};

/// Returns when the last entry holds the value.
Duration Spread(const SpreadRun& aRun) {
  struct Entry {
    LargeValueSource m_source{1};
    LargeValueSender m_sender;
    bool m_isReceiving = false;
    Time m_receivedAt = kNever;
  };
  std::vector<std::string> names;
  std::vector<Entry> entries(aRun.m_entries);
  for (std::size_t number = 0; number < aRun.m_entries; ++number) {
    names.push_back(std::to_string(number));
    entries[number].m_source = LargeValueSource(number + 1);
    entries[number].m_source.SetAnnouncer(std::to_string(number % aRun.m_watchers));
    entries[number].m_source.Start(aRun.m_entries, kNow);
  }
  std::multimap<Time, std::size_t> attempts;
  for (std::size_t number = 0; number < aRun.m_entries; ++number) {
    if (number < aRun.m_watchers) {
      entries[number].m_receivedAt = kNow;
    } else {
      attempts.emplace(kNow, number);
    }
  }
  Time last = kNow;
  while (!attempts.empty()) {
    const auto [now, number] = *attempts.begin();
    attempts.erase(attempts.begin());
    Entry& entry = entries[number];
    const LargeValueSource::Choice choice = entry.m_source.Choose(names, now);
    constexpr Duration kRoundTrip = Milliseconds(3);
    if (choice.m_isStore) {
      // Not served here, so that the peers alone have to do.
      attempts.emplace(now + entry.m_source.OnFailure(), number);
      continue;
    }
    const std::size_t asked = std::stoull(choice.m_peer);
    Entry& peer = entries[asked];
    const std::size_t link = asked < aRun.m_watchers ? aRun.m_watcherLink : aRun.m_entryLink;
    if (peer.m_receivedAt > now) {
      attempts.emplace(now + kRoundTrip + entry.m_source.OnFailure(), number);
    } else if (!peer.m_sender.Start(kValue, names[number], aRun.m_bytes, link, now)) {
      attempts.emplace(now + kRoundTrip + entry.m_source.OnBusy(peer.m_sender.NextHolder(now)),
                       number);
    } else {
      // The narrowest link on the way, shared by what the sender takes on in a quarter of a second.
      const std::chrono::duration<double> transfer(
        static_cast<double>(aRun.m_bytes) / static_cast<double>(std::min(link, aRun.m_entryLink)));
      entry.m_receivedAt =
        now + kRoundTrip +
        std::max(std::chrono::duration_cast<Duration>(transfer), Milliseconds(250));
      last = std::max(last, entry.m_receivedAt);
    }
  }
  return last - kNow;
}

} // namespace

TEST_CASE("a large value reaches every entry in time, also from narrow links") {
  // The bound on configurations, 3 s, less what the narrowest link takes for the store's answer.
  constexpr Duration kBound = Milliseconds(1880);
  constexpr std::size_t kCompressed = 150'000;
  CHECK(Spread({66, 1, kCompressed, kNarrowLink, kNarrowLink}) < kBound);
  CHECK(Spread({66, 1, kCompressed, kWideLink, kNarrowLink}) < kBound);
  CHECK(Spread({66, 2, kCompressed, kNarrowLink, kNarrowLink}) < kBound);
  CHECK(Spread({460, 2, kCompressed, kNarrowLink, kNarrowLink}) < kBound);
  CHECK(Spread({460, 2, kCompressed, kWideLink, kNarrowLink}) < kBound);
}
