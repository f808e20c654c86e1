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
