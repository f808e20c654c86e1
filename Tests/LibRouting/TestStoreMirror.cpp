#include "LibRouting/StoreMirror.h"

#include "LibBase/Random.h"

#include <doctest/doctest.h>

using namespace fennelline;

namespace {

const Time kNow{Seconds(10)};

KeyValue Put(const std::string& aKey, const std::string& aValue, Revision aRevision) {
  return {.m_key = aKey, .m_value = aValue, .m_revision = aRevision};
}

KeyValue Removed(const std::string& aKey, Revision aRevision) {
  return {.m_key = aKey, .m_value = {}, .m_revision = aRevision, .m_removed = true};
}

} // namespace

TEST_CASE("a key never reverts to an older value") {
  StoreMirror mirror;
  mirror.ApplyListing({Put("a", "new", 9)}, 9, kNow);
  CHECK(mirror.Apply({Put("a", "old", 5)}, 7, kNow).empty());
  CHECK(mirror.Find("a")->m_value == "new");
  CHECK(mirror.AsOf() == 9);
  mirror.Apply({Removed("a", 12)}, 12, kNow);
  CHECK(mirror.Apply({Put("a", "new", 9)}, 12, kNow).empty());
  CHECK(mirror.Find("a") == nullptr);
}

TEST_CASE("a listing removes missing keys, but none newer than itself") {
  StoreMirror mirror;
  mirror.ApplyListing({Put("a", "1", 1), Put("b", "1", 2)}, 3, kNow);
  mirror.Apply({Put("c", "1", 8)}, 8, kNow);
  const std::vector<KeyValue> news = mirror.ApplyListing({Put("b", "1", 2)}, 5, kNow);
  REQUIRE(news.size() == 1);
  CHECK(news[0].m_key == "a");
  CHECK(news[0].m_removed);
  CHECK(mirror.Find("c") != nullptr);
}

TEST_CASE("changes since a revision are returned only if the history reaches back that far") {
  StoreMirror mirror;
  CHECK(!mirror.ChangesSince(0));
  mirror.ApplyListing({Put("a", "1", 4)}, 6, kNow);
  CHECK(!mirror.ChangesSince(3));
  mirror.Apply({Put("b", "1", 8), Removed("a", 9)}, 9, kNow);
  const std::optional<std::vector<KeyValue>> changes = mirror.ChangesSince(6);
  REQUIRE(changes);
  CHECK(changes->size() == 2);
}

TEST_CASE("mirrors that update each other converge to the same keys") {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    Random random(seed);
    StoreMirror first;
    StoreMirror second;
    first.ApplyListing({}, 1, kNow);
    second.ApplyListing({}, 1, kNow);
    Revision revision = 1;
    for (int step = 0; step < 200; ++step) {
      ++revision;
      const std::string key = "k" + std::to_string(random.Below(6));
      const KeyValue change =
        random.Chance(0.3) ? Removed(key, revision) : Put(key, std::to_string(step), revision);
      StoreMirror& watcher = random.Chance(0.5) ? first : second;
      StoreMirror& other = &watcher == &first ? second : first;
      // A watch continues from the mirror's revision, so the watcher is brought up to date first.
      watcher.Apply(*other.ChangesSince(watcher.AsOf()), other.AsOf(), kNow);
      watcher.Apply({change}, revision, kNow);
    }
    first.Apply(*second.ChangesSince(first.AsOf()), second.AsOf(), kNow);
    second.Apply(*first.ChangesSince(second.AsOf()), first.AsOf(), kNow);
    const std::vector<KeyValue> one = first.Listing();
    const std::vector<KeyValue> two = second.Listing();
    REQUIRE(one.size() == two.size());
    for (std::size_t index = 0; index < one.size(); ++index) {
      CHECK(one[index].m_key == two[index].m_key);
      CHECK(one[index].m_revision == two[index].m_revision);
    }
  }
}

TEST_CASE("updates keep arbitrary bytes in values, and malformed updates are rejected") {
  const std::string bytes("\xff\x00\x80", 3);
  MirrorUpdate news{
    .m_isListing = true, .m_upToRevision = 5, .m_age = Milliseconds(20), .m_outageRevision = 4};
  news.m_keys = {Put("a", bytes, 4)};
  const Result<MirrorUpdate> read = DecodeMirrorUpdate(EncodeMirrorUpdate(news));
  REQUIRE(!read.IsError());
  CHECK(read.Get().m_keys[0].m_value == bytes);
  CHECK(read.Get().m_upToRevision == 5);
  CHECK(read.Get().m_outageRevision == 4);
  CHECK(DecodeMirrorUpdate("").IsError());
  CHECK(DecodeMirrorUpdate("no news").IsError());
}

namespace {

constexpr std::size_t kMaxValueBytes = 100;
const std::string kLarge(1000, 'x');

} // namespace

TEST_CASE("an update leaves out large values and names them") {
  StoreMirror mirror;
  mirror.ApplyListing({Put("a", "small", 1)}, 1, kNow);
  mirror.Apply({Put("c", kLarge, 2), Put("s", "draining", 3)}, 3, kNow);
  const MirrorUpdate update = mirror.UpdateSince(1, kMaxValueBytes);
  REQUIRE(update.m_keys.size() == 1);
  CHECK(update.m_keys[0].m_key == "s");
  CHECK(update.m_deferred == std::vector<DeferredValue>{{.m_key = "c", .m_revision = 2}});
  CHECK(mirror.UpdateSince(2, kMaxValueBytes).m_deferred.empty());
  CHECK(mirror.UpdateSince(0, kMaxValueBytes).m_isListing);
  CHECK(mirror.UpdateSince(1, kLarge.size()).m_keys.size() == 2);
}

TEST_CASE("a value that was left out is awaited until it or a newer one comes") {
  StoreMirror mirror;
  mirror.ApplyListing({Put("c", "old", 1)}, 1, kNow);
  mirror.ApplyUpdate({.m_upToRevision = 5, .m_deferred = {{"c", 3}}}, kNow);
  CHECK(mirror.Awaited().at("c") == 3);
  CHECK(mirror.LastChange() == 3);
  CHECK(mirror.Find("c")->m_value == "old");
  mirror.ApplyUpdate({.m_upToRevision = 7, .m_deferred = {{"c", 6}, {"c", 4}}}, kNow);
  CHECK(mirror.Awaited().at("c") == 6);
  CHECK(mirror.ApplyLargeValue(Put("c", kLarge, 4)));
  CHECK(mirror.Awaited().at("c") == 6);
  CHECK_FALSE(mirror.ApplyLargeValue(Put("c", "older", 3)));
  CHECK(mirror.ApplyLargeValue(Put("c", kLarge, 6)));
  CHECK(mirror.Awaited().empty());
  mirror.ApplyUpdate({.m_upToRevision = 8, .m_deferred = {{"c", 6}}}, kNow);
  CHECK(mirror.Awaited().empty());
}

TEST_CASE("an awaited value is passed on as one, and never replaced by the old one") {
  StoreMirror mirror;
  mirror.ApplyListing({Put("c", "old", 1)}, 1, kNow);
  mirror.ApplyUpdate({.m_upToRevision = 5, .m_deferred = {{"c", 3}, {"new", 4}}}, kNow);
  const MirrorUpdate update = mirror.UpdateSince(0, kMaxValueBytes);
  CHECK(update.m_isListing);
  CHECK(update.m_keys.empty());
  CHECK(update.m_deferred.size() == 2);
  StoreMirror other;
  other.ApplyUpdate(update, kNow);
  CHECK(other.Awaited() == mirror.Awaited());
}

TEST_CASE("an awaited value that is removed is no longer awaited") {
  StoreMirror mirror;
  mirror.ApplyListing({}, 1, kNow);
  mirror.ApplyUpdate({.m_upToRevision = 4, .m_deferred = {{"a", 3}, {"b", 4}}}, kNow);
  mirror.Apply({Removed("a", 5)}, 5, kNow);
  CHECK(mirror.Awaited().size() == 1);
  mirror.ApplyListing({}, 6, kNow);
  CHECK(mirror.Awaited().empty());
}

TEST_CASE("a listing that leaves a value out does not remove its key") {
  StoreMirror mirror;
  mirror.ApplyListing({Put("c", "old", 1), Put("gone", "1", 2)}, 2, kNow);
  const std::vector<KeyValue> changes =
    mirror.ApplyUpdate({.m_isListing = true, .m_upToRevision = 9, .m_deferred = {{"c", 8}}}, kNow);
  REQUIRE(changes.size() == 1);
  CHECK(changes[0].m_key == "gone");
  CHECK(mirror.Find("c") != nullptr);
}

TEST_CASE("updates of earlier releases, without deferred values, are read") {
  MirrorUpdate update{.m_upToRevision = 5, .m_deferred = {{"c", 4}}};
  update.m_keys = {Put("a", "1", 4)};
  const Result<MirrorUpdate> read = DecodeMirrorUpdate(EncodeMirrorUpdate(update));
  REQUIRE(!read.IsError());
  CHECK(read.Get().m_deferred == update.m_deferred);
  // [false, 5, 0, 0, 0, [["a", "1", 4, false]], 0] in MessagePack, as written by commit 2b0c091.
  const std::string earlier("\x97\xc2\x05\x00\x00\x00\x91\x94\xa1"
                            "a\xc4\x01"
                            "1\x04\xc2\x00",
                            16);
  const Result<MirrorUpdate> old = DecodeMirrorUpdate(earlier);
  REQUIRE(!old.IsError());
  CHECK(old.Get().m_keys.size() == 1);
  CHECK(old.Get().m_deferred.empty());
}

TEST_CASE("a change that is known ahead of others is told once, and the others later") {
  StoreMirror mirror;
  mirror.ApplyListing({Put("c", "1", 1), Put("s", "ready", 2)}, 5, kNow);
  CHECK_FALSE(mirror.HasUpdate(5, 5));
  CHECK(mirror.ApplyAhead({Put("s", "draining", 8)}).size() == 1);
  CHECK(mirror.AsOf() == 5);
  CHECK(mirror.HasUpdate(5, 5));
  // Entries of earlier releases would ask again and again.
  CHECK_FALSE(mirror.HasUpdate(5, std::nullopt));
  StoreMirror peer;
  peer.ApplyListing({Put("c", "1", 1), Put("s", "ready", 2)}, 5, kNow);
  peer.ApplyUpdate(mirror.UpdateSince(5, kMaxValueBytes), kNow);
  CHECK(peer.Find("s")->m_value == "draining");
  CHECK_FALSE(mirror.HasUpdate(peer.AsOf(), peer.LastChange()));
  CHECK(mirror.Apply({Put("c", "2", 7), Put("s", "draining", 8)}, 9, kNow).size() == 1);
  CHECK(mirror.HasUpdate(peer.AsOf(), peer.LastChange()));
  CHECK(mirror.HasUpdate(5, std::nullopt));
  peer.ApplyUpdate(mirror.UpdateSince(peer.AsOf(), kMaxValueBytes), kNow);
  CHECK(peer.Find("c")->m_value == "2");
  CHECK(peer.AsOf() == 9);
  CHECK_FALSE(mirror.HasUpdate(peer.AsOf(), peer.LastChange()));
}

TEST_CASE("a large value that is announced after later changes were known ahead is told") {
  StoreMirror mirror;
  mirror.ApplyListing({}, 5, kNow);
  mirror.ApplyAhead({Put("s", "draining", 8)});
  mirror.ApplyUpdate({.m_upToRevision = 8, .m_deferred = {{"c", 7}}}, kNow);
  CHECK(mirror.HasUpdate(5, 8));
}

TEST_CASE("a listing of a later era replaces all keys, also those of higher revisions") {
  StoreMirror mirror;
  mirror.ApplyListing({Put("a", "1", 10), Put("same", "s", 11), Put("lost", "l", 25)}, 26, kNow, 1);
  mirror.Apply({Put("a", "2", 27), Removed("gone", 28)}, 28, kNow);
  const std::vector<KeyValue> changes =
    mirror.ApplyListing({Put("a", "1", 10), Put("same", "s", 12)}, 16, kNow, 2);
  REQUIRE(changes.size() == 2);
  CHECK(changes[0].m_key == "a");
  CHECK(changes[0].m_value == "1");
  CHECK(changes[1].m_key == "lost");
  CHECK(changes[1].m_removed);
  CHECK(mirror.Era() == StoreEra(2));
  CHECK(mirror.HasChangedEra());
  CHECK(mirror.AsOf() == 16);
  CHECK(mirror.LastChange() == 12);
  CHECK(mirror.Find("same")->m_revision == 12);
  CHECK(mirror.Find("lost") == nullptr);
  // Revisions that were given out before are given out again.
  CHECK(mirror.Apply({Put("a", "3", 17)}, 17, kNow).size() == 1);
}

TEST_CASE("what is of an earlier era is never applied, and changes of a later one need a listing") {
  StoreMirror mirror;
  mirror.ApplyListing({Put("a", "1", 10)}, 10, kNow, 2);
  CHECK(mirror.ApplyListing({Put("a", "old", 30)}, 30, kNow, 1).empty());
  CHECK(
    mirror.ApplyUpdate({.m_era = 1, .m_upToRevision = 30, .m_keys = {Put("a", "old", 30)}}, kNow)
      .empty());
  CHECK(
    mirror.ApplyUpdate({.m_era = 3, .m_upToRevision = 12, .m_keys = {Put("a", "new", 12)}}, kNow)
      .empty());
  CHECK(mirror.AsOf() == 10);
  CHECK(mirror.Find("a")->m_value == "1");
  CHECK(mirror.Era() == StoreEra(2));
}

TEST_CASE("an era that is not known counts as the same, and is learned") {
  StoreMirror mirror;
  mirror.ApplyListing({Put("a", "1", 10)}, 10, kNow);
  CHECK(mirror.Compare(5) == EraOrder::Same);
  CHECK(mirror.ApplyUpdate({.m_era = 5, .m_upToRevision = 12, .m_keys = {Put("a", "2", 12)}}, kNow)
          .size() == 1);
  CHECK(mirror.Era() == StoreEra(5));
  CHECK(!mirror.HasChangedEra());
  CHECK(mirror.ApplyUpdate({.m_upToRevision = 13, .m_keys = {Put("a", "3", 13)}}, kNow).size() ==
        1);
  CHECK(mirror.Compare(4) == EraOrder::Earlier);
}

TEST_CASE(
  "a peer of an earlier era gets a listing at once, one of a later era has nothing to learn") {
  StoreMirror mirror;
  mirror.ApplyListing({Put("a", "1", 10)}, 12, kNow, 2);
  CHECK(mirror.HasUpdate(30, 30, 1));
  CHECK(!mirror.HasUpdate(5, 5, 3));
  CHECK(!mirror.HasUpdate(12, 12, 2));
  CHECK(!mirror.HasUpdate(12, 12));
  const MirrorUpdate update = mirror.UpdateSince(30, kMaxValueBytes, 1);
  CHECK(update.m_isListing);
  CHECK(update.m_era == StoreEra(2));
  const Result<MirrorUpdate> read = DecodeMirrorUpdate(EncodeMirrorUpdate(update));
  REQUIRE(!read.IsError());
  CHECK(read.Get().m_era == StoreEra(2));

  StoreMirror peer;
  peer.ApplyListing({Put("a", "2", 20)}, 30, kNow, 1);
  CHECK(peer.ApplyUpdate(read.Get(), kNow).size() == 1);
  CHECK(peer.AsOf() == 12);
}

TEST_CASE("a large value of an earlier era stands in until that of the later one is fetched") {
  StoreMirror mirror;
  mirror.ApplyListing({Put("c", kLarge, 20), Put("d", kLarge, 21)}, 30, kNow, 1);
  const MirrorUpdate update{.m_era = 2,
                            .m_isListing = true,
                            .m_upToRevision = 12,
                            .m_deferred = {{.m_key = "c", .m_revision = 9}}};
  const std::vector<KeyValue> changes = mirror.ApplyUpdate(update, kNow);
  REQUIRE(changes.size() == 1);
  CHECK(changes[0].m_key == "d");
  REQUIRE(mirror.Find("c") != nullptr);
  CHECK(mirror.Find("c")->m_value == kLarge);
  REQUIRE(mirror.Awaited().contains("c"));
  CHECK(mirror.Awaited().at("c") == 9);
  // It is not served to peers as a value of the later era.
  CHECK(mirror.UpdateSince(0, kLarge.size()).m_keys.empty());
  CHECK(mirror.ApplyLargeValue(Put("c", "new", 9)));
  CHECK(mirror.Awaited().empty());
}
